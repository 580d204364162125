package org.fuchsiaspindle.core.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.fuchsiaspindle.core.slot.TargetSlots.Lease;
import org.fuchsiaspindle.core.work.CompletedRun;
import org.fuchsiaspindle.core.work.RequestSize;
import org.fuchsiaspindle.core.work.WorkEstimator;

/**
 * What a coordinator has learned of the work of its pool: how long requests take, how fast targets
 * are and which prompts they have cached.
 *
 * <p>Not thread-safe; times are monotonic nanoseconds.
 */
final class PoolWork {

    private final WorkEstimator estimator = WorkEstimator.create();
    private final CachedPrompts cachedPrompts = new CachedPrompts();
    private final Set<String> targetsWithPrompts = new HashSet<>();

    private WorkListener listener = WorkListener.NONE;

    PoolWork() {}

    void setListener(WorkListener newListener) {
        listener = checkNotNull(newListener, "newListener");
    }

    /** Returns the estimates for an average target. */
    WorkEstimator estimator() {
        return estimator;
    }

    /**
     * Compares targets for one request.
     *
     * @param size the size of the request, not null
     * @param now the time
     */
    Forecast forecast(RequestSize size, long now) {
        return new Forecast(size, now);
    }

    /** How long one request is expected to take on each target of the pool. */
    final class Forecast {

        /** Differences below this share of the expected duration are none. */
        private static final double RESOLUTION = 1.0 / 32;

        private final RequestSize size;
        private final long now;
        private final double averageNanos;

        /** Set when targets must be compared, which few requests that wait come to. */
        private Map<String, Integer> cachedTokens;

        private Forecast(RequestSize size, long now) {
            this.size = size;
            this.now = now;
            this.averageNanos =
                    size.maxTokens() == 0
                            ? 0
                            : estimator.expectedNanos(size, size.promptTokens(), 0);
        }

        RequestSize size() {
            return size;
        }

        /** Returns the tokens of the prompt that a target must read. */
        int readTokens(TargetSlots target) {
            if (cachedTokens == null) {
                cachedTokens = cachedPrompts.cachedTokens(size.sharedParts(), now);
            }
            return Math.max(0, size.promptTokens() - cachedTokens.getOrDefault(target.id(), 0));
        }

        /** Returns the expected duration on a target in nanoseconds, 0 if unknown. */
        double nanos(TargetSlots target) {
            if (averageNanos == 0) {
                return 0;
            }
            double running = target.expectedRunning(averageNanos, now);
            return target.speed().slowness(now)
                    * estimator.expectedNanos(size, readTokens(target), running);
        }

        /** Returns the expected duration on a target in steps that are too small to matter. */
        long steps(TargetSlots target) {
            return averageNanos == 0 ? 0 : Math.round(nanos(target) / (averageNanos * RESOLUTION));
        }
    }

    /** Records that a request starts on a target, and returns what is expected of it. */
    ExpectedRun start(SlotRequest request, TargetSlots target, long now) {
        ExpectedRun run = start(request.size(), target, now);
        if (run.nanos() > 0) {
            listener.onStart(
                    request,
                    target.id(),
                    Duration.ofNanos((long) run.nanos()),
                    run.readTokens(),
                    run.running(),
                    target.speed().slowness(now));
        }
        return run;
    }

    private ExpectedRun start(RequestSize size, TargetSlots target, long now) {
        Forecast forecast = forecast(size, now);
        int readTokens = forecast.readTokens(target);
        if (!size.sharedParts().isEmpty()) {
            cachedPrompts.add(size.sharedParts(), target.id(), now);
            targetsWithPrompts.add(target.id());
        }
        return new ExpectedRun(
                size, readTokens, forecast.nanos(target), target.total(), size.maxTokens());
    }

    /** Returns what is expected of a batch item that starts on a target. */
    static ExpectedRun startItem(TargetSlots target, int reservedTokens) {
        return new ExpectedRun(RequestSize.UNKNOWN, 0, 0, target.total(), reservedTokens);
    }

    /** Learns from the end of a run whose slot was just released. */
    void end(Lease lease, RunReport report, long now) {
        ExpectedRun expected = lease.work();
        if (report.outcome() == LeaseOutcome.DONE
                && expected.nanos() > 0
                && report.timeHeld().isPositive()) {
            listener.onEnd(Duration.ofNanos((long) expected.nanos()), report.timeHeld());
        }
        TargetSlots target = lease.target();
        switch (report.outcome()) {
            case DONE, CANCELLED ->
                    estimator.record(
                            new CompletedRun(
                                    expected.size(),
                                    report.outcome() == LeaseOutcome.DONE,
                                    report.events(),
                                    report.timeToFirstEvent(),
                                    report.timeHeld(),
                                    expected.readTokens(),
                                    (expected.running() + target.total()) / 2.0),
                            target.speed(),
                            now);
            // The target may have restarted.
            case FAILED, UNREACHABLE -> forgetPrompts(target);
            case TARGET_FULL -> {}
            default -> throw new AssertionError(report.outcome());
        }
    }

    /** Forgets which prompts a target has cached. */
    void forgetPrompts(TargetSlots target) {
        if (targetsWithPrompts.remove(target.id())) {
            cachedPrompts.forget(target.id());
        }
    }
}
