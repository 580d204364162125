/** Watches on tables of the platform's store, which publish the configuration and the targets. */
package org.fuchsiaspindle.gateway.watch;
