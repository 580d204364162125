/**
 * Routes, services and targets of a serving fleet, and the choice, queueing and preemption of
 * requests.
 *
 * <p>All types are either immutable or confined to one thread. None performs I/O.
 */
package org.fuchsiaspindle.core.serving;
