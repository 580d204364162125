/** A simulated plain service with a repeatable and a non-repeatable call. */
package org.fuchsiaspindle.testbed.service;
