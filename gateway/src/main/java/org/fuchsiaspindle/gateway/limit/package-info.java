/**
 * Exchanges with other gateways which requests the limits of workspaces permit.
 *
 * <p>Decisions are made in {@code core.limit}. Confined to the event loop of the request path.
 */
package org.fuchsiaspindle.gateway.limit;
