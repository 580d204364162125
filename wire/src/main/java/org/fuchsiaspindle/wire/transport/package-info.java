/** Authenticated message connections between the processes of one fleet, over Netty. */
package org.fuchsiaspindle.wire.transport;
