/**
 * The entry process, which accepts callers' requests, routes them to targets and holds batch
 * leases.
 */
package org.fuchsiaspindle.daemon.entry;
