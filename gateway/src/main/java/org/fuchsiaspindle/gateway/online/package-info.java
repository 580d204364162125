/**
 * The dispatch of online requests: they wait for a target and are sent to it, and its responses are
 * forwarded to the clients.
 *
 * <p>Confined to the event loop of the request path.
 */
package org.fuchsiaspindle.gateway.online;
