/** Validated settings of a process, from flags and environment variables. */
package org.fuchsiaspindle.daemon.settings;
