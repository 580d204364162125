package org.fuchsiaspindle.core.admission;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import org.fuchsiaspindle.core.config.FleetSettings;
import org.fuchsiaspindle.core.config.FleetSettings.Profile;

/**
 * Parameters of the {@link AdmissionScheduler} of one target. Immutable.
 *
 * @param interTokenTarget time between tokens that running streams must keep
 * @param stepPercentile percentile of the step time that the limit keeps at the target, as a
 *     fraction
 * @param initialLimit concurrency limit before the first measurement
 * @param maxLimit upper bound of the concurrency limit
 * @param adaptiveLimit true if the concurrency limit adapts to the observed token times; false for
 *     plain services, which have no tokens
 * @param headroomPerBurst free slots kept for each request of the largest recent burst
 * @param maxHeadroom largest fraction of the limit that is kept free
 * @param burstHalfLife time in which the recorded size of a burst halves
 * @param maxWaitingOnline online requests that may wait
 * @param maxWaitingBatch batch items that may wait
 */
public record AdmissionPolicy(
        Duration interTokenTarget,
        double stepPercentile,
        int initialLimit,
        int maxLimit,
        boolean adaptiveLimit,
        double headroomPerBurst,
        double maxHeadroom,
        Duration burstHalfLife,
        int maxWaitingOnline,
        int maxWaitingBatch) {

    private static final int INITIAL_LIMIT = 16;
    private static final int MAX_LIMIT = 512;
    private static final int SERVICE_LIMIT = 256;
    private static final int MAX_WAITING = 10_000;

    /**
     * Percentile of the step time that is kept at the target in profile {@code tail}. The 99th
     * percentile may exceed the target by 5%; with 1 ms of prefill per batch item and steps of 30
     * ms it exceeds the target by 4% if the 75th percentile is kept at it.
     */
    private static final double TAIL_STEP_PERCENTILE = 0.75;

    /**
     * Percentile of the step time that is kept at the target in profile {@code batch}; lower than
     * in profile {@code tail}, because batch throughput must reach 0.95 of the idle capacity.
     */
    private static final double BATCH_STEP_PERCENTILE = 0.67;

    /**
     * Batch throughput in profile {@code tail} must reach 0.90 of the idle capacity, so less than a
     * tenth is kept free.
     */
    private static final double TAIL_MAX_HEADROOM = 0.07;

    /**
     * Batch throughput in profile {@code batch} must reach 0.95 of the idle capacity, so less than
     * a twentieth is kept free.
     */
    private static final double BATCH_MAX_HEADROOM = 0.03;

    /** Validates the components. */
    public AdmissionPolicy {
        checkArgument(
                interTokenTarget.isPositive(),
                "inter-token target not positive: %s",
                interTokenTarget);
        checkArgument(
                stepPercentile > 0 && stepPercentile < 1,
                "step percentile not between 0 and 1: %s",
                stepPercentile);
        checkArgument(
                initialLimit >= 1 && initialLimit <= maxLimit,
                "initial limit not between 1 and the maximum: %s",
                initialLimit);
        checkArgument(headroomPerBurst >= 0, "negative headroom per burst: %s", headroomPerBurst);
        checkArgument(
                maxHeadroom >= 0 && maxHeadroom < 1,
                "maximum headroom not between 0 and 1: %s",
                maxHeadroom);
        checkArgument(
                burstHalfLife.isPositive(), "burst half-life not positive: %s", burstHalfLife);
        checkArgument(
                maxWaitingOnline >= 1, "online queue bound not positive: %s", maxWaitingOnline);
        checkArgument(maxWaitingBatch >= 1, "batch queue bound not positive: %s", maxWaitingBatch);
    }

    /** Returns the policy for an engine under the fleet's settings. */
    public static AdmissionPolicy forEngine(FleetSettings settings) {
        boolean batch = settings.profile() == Profile.BATCH;
        return new AdmissionPolicy(
                settings.interTokenTarget(),
                batch ? BATCH_STEP_PERCENTILE : TAIL_STEP_PERCENTILE,
                INITIAL_LIMIT,
                MAX_LIMIT,
                true,
                batch ? 0.5 : 1.0,
                batch ? BATCH_MAX_HEADROOM : TAIL_MAX_HEADROOM,
                batch ? Duration.ofSeconds(2) : Duration.ofSeconds(5),
                MAX_WAITING,
                MAX_WAITING);
    }

    /** Returns the policy for a plain service, whose concurrency limit is fixed. */
    public static AdmissionPolicy forService(FleetSettings settings) {
        return new AdmissionPolicy(
                settings.interTokenTarget(),
                TAIL_STEP_PERCENTILE,
                SERVICE_LIMIT,
                SERVICE_LIMIT,
                false,
                0,
                0,
                Duration.ofSeconds(1),
                MAX_WAITING,
                MAX_WAITING);
    }
}
