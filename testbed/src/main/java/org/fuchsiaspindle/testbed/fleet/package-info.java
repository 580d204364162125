/**
 * Complete fleets for tests and benchmarks: a simulated environment, and the entries and agents
 * under test.
 */
package org.fuchsiaspindle.testbed.fleet;
