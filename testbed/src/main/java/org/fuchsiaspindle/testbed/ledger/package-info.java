/**
 * Records of the requests and orders that the stand-ins executed, which the system under test
 * cannot access.
 */
package org.fuchsiaspindle.testbed.ledger;
