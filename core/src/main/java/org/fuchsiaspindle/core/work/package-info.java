/**
 * What requests are likely to cost, and how fast targets work, learned from completed runs.
 *
 * <p>Load pattern: requests that look alike differ widely in the length of their output, and
 * targets of one service differ in speed, some of them only for a while.
 */
package org.fuchsiaspindle.core.work;
