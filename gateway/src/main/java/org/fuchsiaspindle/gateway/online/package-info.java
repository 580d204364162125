/**
 * The online path: requests wait for a target, are sent to it, and its responses are forwarded.
 *
 * <p>Confined to the event loop of the request path.
 */
package org.fuchsiaspindle.gateway.online;
