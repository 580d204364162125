package org.fuchsiaspindle.core.routing;

/**
 * The consecutive failures of one target and its ejection from routing. Immutable.
 *
 * @param failures failures since the last successful response
 * @param ejections ejections since the target last recovered fully
 * @param ejectedUntilNanos monotonic time at which the last ejection ends; unused without ejections
 */
record TargetHealth(int failures, int ejections, long ejectedUntilNanos) {

    static final TargetHealth HEALTHY = new TargetHealth(0, 0, 0);

    private static final int FAILURES_TO_EJECT = 3;
    private static final long FIRST_EJECTION_NANOS = 2_000_000_000L;
    private static final int MAX_DOUBLINGS = 4;

    /**
     * Time after the end of an ejection over which a target's share of requests grows from zero to
     * its full share.
     */
    private static final long RECOVERY_NANOS = 10_000_000_000L;

    TargetHealth succeeded(long nowNanos) {
        boolean recovered = ejections > 0 && nowNanos - ejectedUntilNanos >= RECOVERY_NANOS;
        return ejections == 0 || recovered
                ? HEALTHY
                : new TargetHealth(0, ejections, ejectedUntilNanos);
    }

    TargetHealth failed(long nowNanos) {
        if (isEjected(nowNanos)) {
            return this;
        }
        // A target that fails during recovery is ejected again at once, and for longer.
        if (failures + 1 < FAILURES_TO_EJECT && ejections == 0) {
            return new TargetHealth(failures + 1, 0, 0);
        }
        long duration = FIRST_EJECTION_NANOS << Math.min(ejections, MAX_DOUBLINGS);
        return new TargetHealth(0, ejections + 1, nowNanos + duration);
    }

    boolean isEjected(long nowNanos) {
        return ejections > 0 && nowNanos - ejectedUntilNanos < 0;
    }

    /** Returns the fraction of its requests that a recovering target may receive, 0 to 1. */
    double share(long nowNanos) {
        if (ejections == 0) {
            return 1;
        }
        long recovering = nowNanos - ejectedUntilNanos;
        return recovering < 0 ? 0 : Math.min(1, (double) recovering / RECOVERY_NANOS);
    }
}
