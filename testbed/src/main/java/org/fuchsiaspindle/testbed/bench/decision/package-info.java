/** JMH microbenchmarks of single routing and admission decisions. */
package org.fuchsiaspindle.testbed.bench.decision;
