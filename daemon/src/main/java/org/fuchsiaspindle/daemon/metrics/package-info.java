/** Liveness, readiness and metrics on the management port. */
package org.fuchsiaspindle.daemon.metrics;
