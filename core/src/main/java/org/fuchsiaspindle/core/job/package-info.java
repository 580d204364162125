/**
 * Batch jobs as stored, and the rules for their ownership and for retrying their items.
 *
 * <p>No type performs I/O. The records are immutable; the estimator and the liveness detector are
 * not thread-safe.
 */
package org.fuchsiaspindle.core.job;
