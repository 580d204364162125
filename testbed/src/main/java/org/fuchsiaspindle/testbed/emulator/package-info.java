/**
 * A small emulator of the users' platform: store, engines, operator and clients over real sockets.
 *
 * <p>Engines and clients keep ledgers that the product cannot touch. Faults are switched on by the
 * tests and experiments that use the emulator.
 */
package org.fuchsiaspindle.testbed.emulator;
