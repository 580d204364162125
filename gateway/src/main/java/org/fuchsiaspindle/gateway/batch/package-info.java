/**
 * Batch jobs: they are stored before they are accepted, their items run in slots that online
 * requests leave free, and any gateway handles the requests to read and end them.
 *
 * <p>Confined to the event loop of the request path.
 */
package org.fuchsiaspindle.gateway.batch;
