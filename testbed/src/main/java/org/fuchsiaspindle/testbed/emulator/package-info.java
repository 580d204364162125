/**
 * An emulator of the deployment platform (store, engines, operator and clients) over real sockets.
 *
 * <p>Engines record their runs in ledgers that the system under test cannot access, so tests can
 * compare its results with what was executed. Tests and benchmarks inject the faults.
 */
package org.fuchsiaspindle.testbed.emulator;
