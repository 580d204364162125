package org.fuchsiaspindle.testbed.load;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Latencies and counts measured under load. Thread-safe. */
public final class LoadResult {

    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram timeToFirstToken = histogram();
    private final Histogram timeBetweenTokens = histogram();
    private final Histogram duration = histogram();
    private final LongAdder completed = new LongAdder();
    private final Map<String, LongAdder> refused = new ConcurrentHashMap<>();
    private final LongAdder failed = new LongAdder();
    private final LongAdder tokens = new LongAdder();

    private LoadResult() {}

    /** Creates an empty result. */
    public static LoadResult create() {
        return new LoadResult();
    }

    /** Returns the times from a request's due time to its first token, in microseconds. */
    public Histogram timeToFirstToken() {
        return timeToFirstToken;
    }

    /** Returns the times between two chunks of one stream, in microseconds. */
    public Histogram timeBetweenTokens() {
        return timeBetweenTokens;
    }

    /** Returns the times from a request's due time to its end, in microseconds. */
    public Histogram duration() {
        return duration;
    }

    /** Returns the number of requests that received a complete response. */
    public long completed() {
        return completed.sum();
    }

    /** Returns the number of requests that were refused. */
    public long refused() {
        return refused.values().stream().mapToLong(LongAdder::sum).sum();
    }

    /** Returns the number of refused requests by HTTP status and error code. */
    public Map<String, Long> refusedByCode() {
        Map<String, Long> counts = new TreeMap<>();
        refused.forEach((code, count) -> counts.put(code, count.sum()));
        return counts;
    }

    /** Returns the number of requests that neither completed nor were refused. */
    public long failed() {
        return failed.sum();
    }

    /** Returns the number of tokens received. */
    public long tokens() {
        return tokens.sum();
    }

    void recordFirstToken(long nanos) {
        timeToFirstToken.recordValue(micros(nanos));
        tokens.increment();
    }

    void recordToken(long gapNanos) {
        timeBetweenTokens.recordValue(micros(gapNanos));
        tokens.increment();
    }

    void recordCompleted(long nanos) {
        duration.recordValue(micros(nanos));
        completed.increment();
    }

    void recordRefused(String code) {
        refused.computeIfAbsent(code, key -> new LongAdder()).increment();
    }

    void recordFailed() {
        failed.increment();
    }

    private static long micros(long nanos) {
        return Math.max(0, TimeUnit.NANOSECONDS.toMicros(nanos));
    }

    private static Histogram histogram() {
        return new ConcurrentHistogram(SIGNIFICANT_DIGITS);
    }
}
