/** Command-line benchmark: experiments with load and faults, and their figures and goals. */
package org.fuchsiaspindle.testbed.bench;
