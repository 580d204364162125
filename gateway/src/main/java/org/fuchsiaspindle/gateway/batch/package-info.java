/**
 * Batch jobs: they are stored before they are accepted, their items run in slots that online
 * requests leave free, and any gateway reads and ends them.
 *
 * <p>Confined to the event loop of the request path.
 */
package org.fuchsiaspindle.gateway.batch;
