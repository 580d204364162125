/**
 * Simulated external systems (called stand-ins), a fault-injecting proxy, a demo and benchmarks.
 * Production code does not depend on this package.
 */
package org.fuchsiaspindle.testbed;
