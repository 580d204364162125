/**
 * Batch jobs: accepting them durably, running their items in the gaps of online work, and reading
 * and ending them at any gateway.
 *
 * <p>Confined to the event loop of the request path.
 */
package org.fuchsiaspindle.gateway.batch;
