/**
 * Connections to targets, their load from all gateways, and their health.
 *
 * <p>Confined to the event loop of the request path.
 */
package org.fuchsiaspindle.gateway.target;
