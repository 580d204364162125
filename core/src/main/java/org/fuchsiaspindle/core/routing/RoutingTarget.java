package org.fuchsiaspindle.core.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The load, health and prefix cache hit ratio of one target as an entry sees them. Thread-safe;
 * never blocks.
 */
public final class RoutingTarget {

    /** Weight of the newest response in the moving average of the hit ratio. */
    private static final double HIT_RATIO_SAMPLE_WEIGHT = 0.2;

    private static final HashFunction WEIGHT = Hashing.murmur3_32_fixed();

    private final String id;
    private final String dataCentre;
    private final long penaltyNanos;
    private final long hash;
    private final AtomicReference<TargetLoad> load = new AtomicReference<>();
    private final AtomicInteger sentSinceReport = new AtomicInteger();
    private final AtomicReference<TargetHealth> health =
            new AtomicReference<>(TargetHealth.HEALTHY);
    private final AtomicReference<Double> hitRatio = new AtomicReference<>(1.0);

    private RoutingTarget(String id, String dataCentre, long penaltyNanos) {
        this.id = id;
        this.dataCentre = dataCentre;
        this.penaltyNanos = penaltyNanos;
        this.hash = Hashing.farmHashFingerprint64().hashString(id, StandardCharsets.UTF_8).asLong();
    }

    /**
     * Creates a target without a load report.
     *
     * @param id the instance identifier of its agent, not null
     * @param dataCentre its data centre, not null
     * @param penaltyNanos the cost of its network distance, 0 in the entry's own data centre
     */
    public static RoutingTarget create(String id, String dataCentre, long penaltyNanos) {
        return new RoutingTarget(
                checkNotNull(id, "id"), checkNotNull(dataCentre, "dataCentre"), penaltyNanos);
    }

    /** Returns the instance identifier of the target's agent. */
    public String id() {
        return id;
    }

    /** Returns the data centre. */
    public String dataCentre() {
        return dataCentre;
    }

    /** Replaces the load by that of a new report. */
    public void updateLoad(TargetLoad newLoad) {
        load.set(checkNotNull(newLoad, "newLoad"));
        sentSinceReport.set(0);
    }

    /** Counts a request that was sent to the target. */
    public void recordSent() {
        sentSinceReport.incrementAndGet();
    }

    /** Records a successful response, which resets the count of consecutive failures. */
    public void recordSuccess(long nowNanos) {
        health.updateAndGet(old -> old.succeeded(nowNanos));
    }

    /** Records a failure of the target. Several consecutive failures eject it temporarily. */
    public void recordFailure(long nowNanos) {
        health.updateAndGet(old -> old.failed(nowNanos));
    }

    /**
     * Updates the hit ratio with the predicted and the actual cached tokens of a completed request.
     *
     * @param predictedTokens the prompt tokens that were expected in the cache
     * @param cachedTokens the prompt tokens that the response reports as cached
     */
    public void recordCacheHit(int predictedTokens, int cachedTokens) {
        if (predictedTokens > 0) {
            double ratio = Math.min(1.0, (double) cachedTokens / predictedTokens);
            hitRatio.updateAndGet(old -> old + HIT_RATIO_SAMPLE_WEIGHT * (ratio - old));
        }
    }

    TargetHealth health() {
        return health.get();
    }

    double hitRatio() {
        return hitRatio.get();
    }

    long penaltyNanos() {
        return penaltyNanos;
    }

    long estimatedWaitNanos(long nowNanos) {
        TargetLoad newest = load.get();
        return newest == null ? 0 : newest.estimatedWaitNanos(sentSinceReport.get(), nowNanos);
    }

    /** Returns the rendezvous weight for a key; the comparison is unsigned. */
    long weight(long key) {
        return WEIGHT.hashLong(key ^ hash).padToLong();
    }

    @Override
    public String toString() {
        return id;
    }
}
