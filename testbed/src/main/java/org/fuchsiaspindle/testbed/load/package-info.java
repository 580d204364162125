/**
 * Seeded open-loop load generation, its measurements, and calls that are checked against ledgers.
 */
package org.fuchsiaspindle.testbed.load;
