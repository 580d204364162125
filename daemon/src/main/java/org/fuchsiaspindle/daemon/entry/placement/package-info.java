/** Issues placement orders under a lease with a fencing number. */
package org.fuchsiaspindle.daemon.entry.placement;
