/** Connections between gateways, which exchange heartbeats, loads, configuration and targets. */
package org.fuchsiaspindle.gateway.peer;
