/** Entry point and settings of the daemon. */
package org.fuchsiaspindle.daemon;
