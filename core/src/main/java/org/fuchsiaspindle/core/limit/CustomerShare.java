package org.fuchsiaspindle.core.limit;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * One entry's share of one customer's limits, and its usage.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds. All operations are O(1).
 */
public final class CustomerShare {

    /** Time constant of the moving average of demand. */
    private static final Duration AVERAGING_TIME = Duration.ofSeconds(1);

    /** Requests per second below which the customer counts as idle at this entry. */
    private static final double IDLE_RATE = 0.01;

    private static final double AVERAGING_NANOS = AVERAGING_TIME.toNanos();
    private static final double AVERAGING_SECONDS = AVERAGING_TIME.toSeconds();

    /** The outcome of an admission request. */
    public enum Result {
        ADMITTED,
        RATE_LIMITED,
        CONCURRENCY_LIMITED
    }

    private final TokenBucket bucket;
    private Share grant = Share.NONE;
    private long grantedUntilNanos;
    private boolean granted;
    private int running;
    private double attemptRate;
    private double concurrencyRefusalRate;
    private double peakRunning;
    private long lastDecayNanos;

    private CustomerShare(TokenBucket bucket, long nowNanos) {
        this.bucket = bucket;
        this.lastDecayNanos = nowNanos;
    }

    /**
     * Creates a share without a grant.
     *
     * @param limits the customer's limits
     * @param equalShare the entry's equal share, which applies without a grant
     * @param nowNanos the time
     */
    public static CustomerShare create(CustomerLimits limits, Share equalShare, long nowNanos) {
        return new CustomerShare(
                TokenBucket.full(equalShare.rate(), capacity(limits, equalShare), nowNanos),
                nowNanos);
    }

    /**
     * Tries to admit one request; an admitted request must be released once.
     *
     * @param limits the customer's limits
     * @param equalShare the share that this entry may use without a grant
     * @param nowNanos the time
     */
    public Result acquire(CustomerLimits limits, Share equalShare, long nowNanos) {
        decay(nowNanos);
        attemptRate += 1 / AVERAGING_SECONDS;
        Share share = inUse(limits, equalShare, nowNanos);
        if (running >= share.concurrency()) {
            concurrencyRefusalRate += 1 / AVERAGING_SECONDS;
            return Result.CONCURRENCY_LIMITED;
        }
        bucket.configure(share.rate(), capacity(limits, share), nowNanos);
        if (!bucket.tryTake(nowNanos)) {
            return Result.RATE_LIMITED;
        }
        running++;
        peakRunning = Math.max(peakRunning, running);
        return Result.ADMITTED;
    }

    /** Records the end of an admitted request. */
    public void release() {
        checkState(running > 0, "more releases than admissions");
        running--;
    }

    /** Returns the time until a rate-limited request may be retried, bounded by a maximum. */
    public Duration retryAfter(long nowNanos, Duration atMost) {
        return bucket.untilNext(nowNanos, atMost);
    }

    /**
     * Applies a grant, unless one for a later request has already been applied.
     *
     * @param share the granted share
     * @param validUntilNanos the time at which this entry sent the request plus the validity; the
     *     granter counts the validity from the later time at which it received the request, so a
     *     grant never expires at the granter first
     */
    public void applyGrant(Share share, long validUntilNanos) {
        if (granted && validUntilNanos - grantedUntilNanos < 0) {
            // The grant belongs to an older request and arrived out of order.
            return;
        }
        grant = checkNotNull(share, "share");
        grantedUntilNanos = validUntilNanos;
        granted = true;
    }

    /** Returns true while a grant is valid. */
    public boolean hasGrant(long nowNanos) {
        return granted && nowNanos - grantedUntilNanos < 0;
    }

    /** Returns the share in use: the grant while it is valid, otherwise the equal share. */
    public Share inUse(CustomerLimits limits, Share equalShare, long nowNanos) {
        if (!hasGrant(nowNanos)) {
            return equalShare;
        }
        return new Share(
                Math.min(grant.rate(), limits.rate().requestsPerSecond()),
                Math.min(grant.concurrency(), limits.concurrency()));
    }

    /** Returns the current demand of this entry. */
    public Demand demand(long nowNanos) {
        decay(nowNanos);
        double peakDemand = Math.max(peakRunning, running + concurrencyRefusalRate);
        return new Demand(attemptRate, (int) Math.ceil(peakDemand - IDLE_RATE), running);
    }

    /** Returns true if no request runs and there were no recent attempts. */
    public boolean isIdle(long nowNanos) {
        decay(nowNanos);
        return running == 0 && attemptRate < IDLE_RATE;
    }

    /** Returns true if discarding this state would not admit any additional request. */
    public boolean isDroppable(long nowNanos) {
        return isIdle(nowNanos) && !hasGrant(nowNanos) && bucket.isFull(nowNanos);
    }

    private void decay(long nowNanos) {
        long elapsed = nowNanos - lastDecayNanos;
        if (elapsed > 0) {
            double factor = Math.exp(-elapsed / AVERAGING_NANOS);
            attemptRate *= factor;
            concurrencyRefusalRate *= factor;
            peakRunning = Math.max(running, peakRunning * factor);
            lastDecayNanos = nowNanos;
        }
    }

    /**
     * The burst is divided in proportion to the rate, but is at least one token, because a smaller
     * bucket would admit nothing.
     */
    private static double capacity(CustomerLimits limits, Share share) {
        if (share.rate() == 0) {
            return 0;
        }
        return Math.max(
                1, limits.rate().burst() * share.rate() / limits.rate().requestsPerSecond());
    }

    @Override
    public String toString() {
        return "CustomerShare[running="
                + running
                + ", grant="
                + grant
                + ", until="
                + TimeUnit.NANOSECONDS.toMillis(grantedUntilNanos)
                + "ms]";
    }
}
