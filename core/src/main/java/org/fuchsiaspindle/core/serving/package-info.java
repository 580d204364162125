/**
 * Routes, services and targets of a serving fleet, and the decisions on where a request goes and
 * how long it waits.
 *
 * <p>All types are immutable or confined to one thread; none does input or output.
 */
package org.fuchsiaspindle.core.serving;
