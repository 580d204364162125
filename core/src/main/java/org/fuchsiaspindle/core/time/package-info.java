/** Clocks, which are passed to all code that depends on time. */
package org.fuchsiaspindle.core.time;
