/** Follows tables of the platform's store and publishes what they say. */
package org.fuchsiaspindle.gateway.watch;
