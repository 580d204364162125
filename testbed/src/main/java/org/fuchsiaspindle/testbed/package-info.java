/** Stand-ins, fault-injecting proxy, demo and benchmarks, which production code does not use. */
package org.fuchsiaspindle.testbed;
