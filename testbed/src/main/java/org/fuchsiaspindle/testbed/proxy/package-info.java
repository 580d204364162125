/** A TCP proxy that injects faults, per connection and direction. */
package org.fuchsiaspindle.testbed.proxy;
