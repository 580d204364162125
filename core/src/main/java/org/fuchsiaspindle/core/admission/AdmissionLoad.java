package org.fuchsiaspindle.core.admission;

/**
 * Snapshot of the load of a scheduler. Immutable.
 *
 * @param onlineRunning online requests that run at the target
 * @param onlineWaiting online requests that wait
 * @param batchRunning batch items that run at the target
 * @param batchWaiting batch items that wait in the local queue
 * @param limit concurrency limit, in streams
 * @param headroom slots kept free of batch items
 * @param expectedWaitNanos estimated wait of a new online request
 * @param stepNanos most recent estimate of the time between tokens, 0 if unknown
 */
public record AdmissionLoad(
        int onlineRunning,
        int onlineWaiting,
        int batchRunning,
        int batchWaiting,
        int limit,
        int headroom,
        long expectedWaitNanos,
        long stepNanos) {}
