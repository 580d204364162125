/** Connections to the other processes of the fleet, and the state that is exchanged over them. */
package org.fuchsiaspindle.daemon.fleet;
