/**
 * Complete fleets for tests and benchmarks: stand-ins for the environment, and the entries and
 * agents under test.
 */
package org.fuchsiaspindle.testbed.fleet;
