/**
 * The targets as the request path sees them: connections, loads over all gateways, and health.
 *
 * <p>Confined to the event loop of the request path.
 */
package org.fuchsiaspindle.gateway.target;
