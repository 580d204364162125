package org.fuchsiaspindle.core.time;

import java.time.Instant;

/**
 * Source of wall-clock time and monotonic time.
 *
 * <p>Leases, timeouts and validity use the monotonic time. Wall-clock time is for job deadlines and
 * timestamps only, because it may be skewed or stepped. Implementations are thread-safe.
 */
public interface Clock {

    /** Returns the wall-clock time. */
    Instant wallTime();

    /**
     * Returns the monotonic time in nanoseconds since an arbitrary origin.
     *
     * <p>It advances while the process is suspended, so that a process can detect a pause.
     */
    long nanoTime();

    /** Returns the clock of the operating system. */
    static Clock system() {
        return SystemClock.INSTANCE;
    }
}
