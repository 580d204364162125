/**
 * The online path: a client's request waits, is sent to a target, and its answer is passed on.
 *
 * <p>Confined to the event loop of the request path.
 */
package org.fuchsiaspindle.gateway.online;
