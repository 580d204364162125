/**
 * Seeded open-loop load generation, latency measurement, and calls whose results are checked
 * against the ledgers.
 */
package org.fuchsiaspindle.testbed.load;
