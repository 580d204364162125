/** JMH microbenchmarks of routing and admission decisions. */
package org.fuchsiaspindle.testbed.bench.decision;
