package org.fuchsiaspindle.core.admission;

/**
 * Computes how many slots to keep free of batch items from the size of the largest recent burst of
 * online requests, which decays with time. Not thread-safe; O(1).
 */
final class BurstHeadroom {

    /** Requests that arrive within this time belong to one burst. */
    private static final long BURST_NANOS = 100_000_000L;

    private AdmissionPolicy policy;
    private long burstStartNanos;
    private int burstRequests;
    private double peakRequests;
    private long peakTimeNanos;

    /** Applies a changed policy; the recorded burst is kept. */
    void apply(AdmissionPolicy newPolicy) {
        policy = newPolicy;
    }

    BurstHeadroom(AdmissionPolicy policy, long nowNanos) {
        this.policy = policy;
        this.burstStartNanos = nowNanos;
        this.peakTimeNanos = nowNanos;
    }

    /** Records the arrival of an online request. */
    void arrived(long nowNanos) {
        if (nowNanos - burstStartNanos > BURST_NANOS) {
            burstStartNanos = nowNanos;
            burstRequests = 0;
        }
        burstRequests++;
        peakRequests = Math.max(decayedPeak(nowNanos), burstRequests);
        peakTimeNanos = nowNanos;
    }

    /** Returns the number of slots to keep free of batch items. */
    int slots(int limit, long nowNanos) {
        double slots = policy.headroomPerBurst() * decayedPeak(nowNanos);
        return (int) Math.min(Math.round(slots), (long) (limit * policy.maxHeadroom()));
    }

    private double decayedPeak(long nowNanos) {
        double halfLives = (double) (nowNanos - peakTimeNanos) / policy.burstHalfLife().toNanos();
        return peakRequests * Math.pow(0.5, halfLives);
    }
}
