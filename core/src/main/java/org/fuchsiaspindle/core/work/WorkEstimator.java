package org.fuchsiaspindle.core.work;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalDouble;
import org.fuchsiaspindle.core.collect.LruMap;

/**
 * Estimates how long requests occupy an average target of a pool, from runs that ended.
 *
 * <p>A stream takes the time to its first event, which grows with the tokens of the prompt that the
 * target must read, and the time of its events, which grows with the number of requests that run
 * beside it. Not thread-safe.
 */
public final class WorkEstimator {

    /** Assumed duration of a request before one was observed. */
    public static final Duration INITIAL_WORK = Duration.ofMillis(300);

    /** Kinds of requests that are remembered; the least recently used yields. */
    private static final int MAX_KINDS = 256;

    /** Events from which a run shows how fast its target makes them. */
    private static final int MIN_PACED_EVENTS = 3;

    /** Assumed share of the largest output if nothing else is known. */
    private static final double USUAL_OUTPUT_SHARE = 0.5;

    /** Share by which an event takes longer for each request that runs beside it. */
    private static final double INITIAL_SLOWDOWN = 0.05;

    /** Bounds of the slowdown, which a few noisy runs could put far off. */
    private static final double MIN_SLOWDOWN = 0.01;

    private static final double MAX_SLOWDOWN = 0.3;

    /** Weight of one run in the averages. */
    private static final double SAMPLE_WEIGHT = 0.02;

    /**
     * Largest work of one request relative to an average one that decisions between callers use.
     */
    private static final double MAX_RELATIVE_WORK = 16;

    /** Weight of the assumed slowdown among what was observed, in squared requests. */
    private static final double INITIAL_SLOWDOWN_WEIGHT = 20;

    /** Share of its weight that a run keeps in the slowdown with each new one. */
    private static final double SLOWDOWN_KEPT_SHARE = 0.998;

    private final Map<String, KindEstimate> kinds = new LruMap<>(MAX_KINDS);
    private final DecayedLine firstEventNanos = new DecayedLine();
    private double slowdownSum = INITIAL_SLOWDOWN * INITIAL_SLOWDOWN_WEIGHT;
    private double slowdownWeight = INITIAL_SLOWDOWN_WEIGHT;
    private double idleEventNanos;
    private double meanRunning;
    private double meanNanos;
    private int tokensPerEvent = 1;

    private WorkEstimator() {}

    /** Creates an estimator that has observed nothing. */
    public static WorkEstimator create() {
        return new WorkEstimator();
    }

    /** Sets how many tokens of output one event of a stream holds at most, positive. */
    public void setTokensPerEvent(int tokens) {
        checkArgument(tokens > 0, "tokens not positive: %s", tokens);
        tokensPerEvent = tokens;
    }

    /** Returns how many events a stream is expected to have, 0 if unknown. */
    public double expectedEvents(RequestSize size) {
        KindEstimate kind = kinds.get(checkNotNull(size, "size").kind());
        OptionalDouble hint = hintedEvents(size);
        double most =
                size.maxOutputTokens() == 0
                        ? Double.MAX_VALUE
                        : Math.ceil((double) size.maxOutputTokens() / tokensPerEvent);
        if (kind != null && kind.isStream()) {
            return Math.min(most, kind.expectedEvents(hint));
        }
        if (hint.isPresent()) {
            return Math.min(most, hint.getAsDouble());
        }
        return size.maxOutputTokens() == 0 ? 0 : most * USUAL_OUTPUT_SHARE;
    }

    /**
     * Returns how long a request is expected to occupy an average target that must read its whole
     * prompt and is as loaded as usual; positive, never null. {@link #INITIAL_WORK} if nothing is
     * known.
     */
    public Duration expectedWork(RequestSize size) {
        double nanos = expectedNanos(size, size.promptTokens(), meanRunning);
        if (nanos == 0) {
            return meanNanos == 0 ? INITIAL_WORK : Duration.ofNanos((long) Math.ceil(meanNanos));
        }
        return Duration.ofNanos((long) Math.ceil(nanos));
    }

    /**
     * Returns the expected work of a request in multiples of that of an average one; positive, 1 if
     * unknown. It is bounded, because callers state the sizes and hints that it is derived from.
     */
    public double relativeWork(RequestSize size) {
        double nanos = expectedNanos(size, size.promptTokens(), meanRunning);
        return nanos == 0 || meanNanos == 0
                ? 1
                : Math.clamp(nanos / meanNanos, 1 / MAX_RELATIVE_WORK, MAX_RELATIVE_WORK);
    }

    /**
     * Returns how long a request is expected to occupy an average target, in nanoseconds; 0 if
     * nothing is known of requests of its kind or size.
     *
     * @param size what is known of its size, not null
     * @param readTokens the tokens of the prompt that the target must read
     * @param running how many other requests run on the target
     */
    public double expectedNanos(RequestSize size, int readTokens, double running) {
        KindEstimate kind = kinds.get(checkNotNull(size, "size").kind());
        if (kind != null && !kind.isStream() && kind.bodyNanos().isPresent()) {
            return kind.bodyNanos().getAsDouble();
        }
        double events = expectedEvents(size);
        return idleEventNanos == 0 || events == 0
                ? 0
                : firstEventNanos.at(readTokens) + events * eventNanos(running);
    }

    /** Returns the time of one event beside a number of other requests, 0 if unknown. */
    private double eventNanos(double running) {
        return idleEventNanos * Math.exp(slowdown() * running);
    }

    /** Returns by how much each further request slows a target down, as a logarithm. */
    private double slowdown() {
        return Math.clamp(slowdownSum / slowdownWeight, MIN_SLOWDOWN, MAX_SLOWDOWN);
    }

    /**
     * Records a run on a target.
     *
     * @param run the run, not null
     * @param speed the speed of the target, which is updated; not null
     * @param now the time, in monotonic nanoseconds
     */
    public void record(CompletedRun run, TargetSpeed speed, long now) {
        checkNotNull(run, "run");
        long heldNanos = run.timeHeld().toNanos();
        if (run.events() >= MIN_PACED_EVENTS && run.timeToFirstEvent().isPresent()) {
            recordPace(run, speed, now);
        } else if (run.complete()
                && run.events() == 0
                && heldNanos > 0
                && !run.size().kind().isEmpty()) {
            recordBody(run, speed, now);
        }
        if (run.complete() && run.events() > 0 && !run.size().kind().isEmpty()) {
            kind(run.size()).recordStream(run.events(), hintedEvents(run.size()));
        }
        if (run.complete() && heldNanos > 0 && !run.size().kind().isEmpty()) {
            meanNanos += (meanNanos == 0 ? 1 : SAMPLE_WEIGHT) * (heldNanos - meanNanos);
        }
    }

    private void recordPace(CompletedRun run, TargetSpeed speed, long now) {
        double firstNanos = run.timeToFirstEvent().get().toNanos();
        double laterNanos = run.timeHeld().toNanos() - firstNanos;
        if (laterNanos <= 0) {
            return;
        }
        int intervals = run.events() - 1;
        double perEvent = laterNanos / intervals;
        double idlePerEvent = perEvent / Math.exp(slowdown() * run.running());
        recordSlowdown(Math.log(perEvent), run.running(), speed);
        idleEventNanos +=
                (idleEventNanos == 0 ? 1 : SAMPLE_WEIGHT) * (idlePerEvent - idleEventNanos);
        meanRunning += SAMPLE_WEIGHT * (run.running() - meanRunning);
        double expected = intervals * eventNanos(run.running());
        double observed = laterNanos;
        if (run.size().promptTokens() > 0) {
            if (!firstEventNanos.isEmpty()) {
                expected += firstEventNanos.at(run.readTokens());
                observed += firstNanos;
            }
            firstEventNanos.add(run.readTokens(), firstNanos);
        }
        speed.record(observed / expected, now);
    }

    /**
     * Learns how much other requests slow a target down. Only the difference to other runs on the
     * same target counts, because fast targets have more requests.
     */
    private void recordSlowdown(double logEventNanos, double running, TargetSpeed speed) {
        speed.deviation(logEventNanos, running)
                .ifPresent(
                        deviation -> {
                            slowdownSum =
                                    slowdownSum * SLOWDOWN_KEPT_SHARE
                                            + deviation.running() * deviation.logEventNanos();
                            slowdownWeight =
                                    slowdownWeight * SLOWDOWN_KEPT_SHARE
                                            + deviation.running() * deviation.running();
                        });
    }

    private void recordBody(CompletedRun run, TargetSpeed speed, long now) {
        KindEstimate kind = kind(run.size());
        double nanos = run.timeHeld().toNanos();
        kind.bodyNanos().ifPresent(expected -> speed.record(nanos / expected, now));
        kind.recordBody(nanos);
    }

    private KindEstimate kind(RequestSize size) {
        return kinds.computeIfAbsent(size.kind(), name -> new KindEstimate());
    }

    private OptionalDouble hintedEvents(RequestSize size) {
        return size.hintedOutputTokens() == 0
                ? OptionalDouble.empty()
                : OptionalDouble.of(
                        Math.max(1, (double) size.hintedOutputTokens() / tokensPerEvent));
    }
}
