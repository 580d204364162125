/**
 * Records of the requests and orders that the stand-ins executed. The system under test cannot
 * access them, so tests can compare its results with what was executed.
 */
package org.fuchsiaspindle.testbed.ledger;
