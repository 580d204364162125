/** Logs and metrics of a gateway. */
package org.fuchsiaspindle.gateway.telemetry;
