/** Dispatches callers' requests to targets, with retries and the resumption of streams. */
package org.fuchsiaspindle.daemon.entry.dispatch;
