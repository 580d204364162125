/** Command-line experiments on performance and fault tolerance, with their figures and goals. */
package org.fuchsiaspindle.testbed.bench;
