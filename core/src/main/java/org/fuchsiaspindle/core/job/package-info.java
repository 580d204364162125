/**
 * Batch jobs as they lie in the store, and the decisions on their owner and their items.
 *
 * <p>Immutable types without input or output.
 */
package org.fuchsiaspindle.core.job;
