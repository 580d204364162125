package org.fuchsiaspindle.core.admission;

/**
 * Computes how many slots to keep free of batch items from the size of the largest recent burst of
 * online requests, which decays with time. Not thread-safe; O(1).
 */
final class BurstHeadroom {

    /** Requests that arrive within this time belong to one burst. */
    private static final long BURST_NANOS = 100_000_000L;

    private AdmissionPolicy policy;
    private long burstStart;
    private int burst;
    private double peak;
    private long peakTime;

    /** Applies a changed policy; the recorded burst is kept. */
    void apply(AdmissionPolicy newPolicy) {
        policy = newPolicy;
    }

    BurstHeadroom(AdmissionPolicy policy, long now) {
        this.policy = policy;
        this.burstStart = now;
        this.peakTime = now;
    }

    /** Records the arrival of an online request. */
    void arrived(long now) {
        if (now - burstStart > BURST_NANOS) {
            burstStart = now;
            burst = 0;
        }
        burst++;
        peak = Math.max(decayedPeak(now), burst);
        peakTime = now;
    }

    /** Returns the number of slots to keep free of batch items. */
    int slots(int limit, long now) {
        double slots = policy.headroomPerBurst() * decayedPeak(now);
        return (int) Math.min(Math.round(slots), (long) (limit * policy.maxHeadroom()));
    }

    private double decayedPeak(long now) {
        double halfLives = (double) (now - peakTime) / policy.burstHalfLife().toNanos();
        return peak * Math.pow(0.5, halfLives);
    }
}
