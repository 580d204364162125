/** Simulated HTTP services of the platform, with configurable faults. */
package org.fuchsiaspindle.testbed.platform;
