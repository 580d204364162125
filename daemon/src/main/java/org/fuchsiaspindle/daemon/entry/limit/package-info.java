/** Customer limits that hold over all entries together. */
package org.fuchsiaspindle.daemon.entry.limit;
