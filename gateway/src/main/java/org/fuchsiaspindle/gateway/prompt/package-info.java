/**
 * Exchanges with other gateways which prompt parts crash targets.
 *
 * <p>Decisions are made in {@code core.prompt}. Confined to the event loop of the request path.
 */
package org.fuchsiaspindle.gateway.prompt;
