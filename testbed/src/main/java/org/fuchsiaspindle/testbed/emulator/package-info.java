/**
 * An emulator of the deployment platform: store, engines, operator and clients, over real sockets.
 *
 * <p>Engines record their runs in ledgers that the system under test cannot access, so tests can
 * compare its results with what was executed. Faults are enabled by the tests and benchmarks that
 * use the emulator.
 */
package org.fuchsiaspindle.testbed.emulator;
