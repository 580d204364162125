/**
 * Routes, services and targets of a serving fleet, and the order in which requests wait.
 *
 * <p>All types are either immutable or confined to one thread. None performs I/O.
 */
package org.fuchsiaspindle.core.serving;
