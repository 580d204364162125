/** Batch jobs: records of files, jobs and segments, and scheduling logic that does no I/O. */
package org.fuchsiaspindle.core.batch;
