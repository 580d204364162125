package org.fuchsiaspindle.core.time;

import java.time.Instant;
import java.time.InstantSource;

/** The clock of the operating system. */
enum SystemClock implements Clock {
    INSTANCE;

    private static final InstantSource SOURCE = InstantSource.system();

    @Override
    public Instant wallTime() {
        return SOURCE.instant();
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }
}
