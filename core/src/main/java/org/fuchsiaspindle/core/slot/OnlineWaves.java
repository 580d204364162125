package org.fuchsiaspindle.core.slot;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Learns from the online demand of a pool whether it comes in waves, and how long one lasts.
 *
 * <p>Load pattern: demand that jumps between two levels every few seconds. The demand is averaged
 * over a short time; a wave begins and ends where this average passes the middle of the range that
 * it had recently. Demand whose range could be chance has no waves. The expected length is the
 * median of the last waves, so one that is disturbed changes little.
 *
 * <p>Not thread-safe; O(1). Times are monotonic nanoseconds.
 */
final class OnlineWaves {

    /** Time over which the demand is averaged. */
    private static final Duration SMOOTHING_TIME = Duration.ofMillis(150);

    /** Time over which the largest and the smallest demand are forgotten. */
    private static final Duration RANGE_MEMORY = Duration.ofSeconds(20);

    /**
     * Random arrivals at a constant rate make the demand vary by its square root; a range of more
     * than this many times the square root is no chance.
     */
    private static final double MIN_RANGE_DEVIATIONS = 5;

    /** Part of the range by which the demand must pass its middle. */
    private static final double HYSTERESIS = 0.125;

    /** Number of waves after which the next one is expected to be like them. */
    private static final int MIN_WAVES = 2;

    private final History waveNanos = new History();
    private final History troughNanos = new History();
    private double demand;
    private double smoothed;
    private double highest;
    private double lowest;
    private long updatedNanos;
    private boolean started;
    private boolean inWave;
    private boolean phaseStartKnown;
    private long phaseStartNanos;

    /** The last values of a quantity. */
    private static final class History {
        private static final int SIZE = 3;

        private final Deque<Long> values = new ArrayDeque<>();

        void add(long value) {
            values.addLast(value);
            if (values.size() > SIZE) {
                values.removeFirst();
            }
        }

        int size() {
            return values.size();
        }

        void clear() {
            values.clear();
        }

        /** Returns the median, the smaller one of two values; there must be one. */
        long median() {
            return values.stream().sorted().skip((values.size() - 1) / 2).findFirst().orElseThrow();
        }
    }

    OnlineWaves() {}

    /**
     * Records the online demand from now on.
     *
     * @param slots the number of slots that online requests hold or wait for
     */
    void record(int slots, long now) {
        advance(now);
        demand = slots;
    }

    /**
     * Returns the time until the present wave is expected to end, empty if there is none or if it
     * lasts longer than the ones before.
     */
    Optional<Duration> timeUntilWaveEnd(long now) {
        if (!inWave || waveNanos.size() < MIN_WAVES) {
            return Optional.empty();
        }
        long left = phaseStartNanos + waveNanos.median() - now;
        return left > 0 ? Optional.of(Duration.ofNanos(left)) : Optional.empty();
    }

    private void advance(long now) {
        if (!started) {
            started = true;
            updatedNanos = now;
        }
        long elapsed = now - updatedNanos;
        if (elapsed <= 0) {
            return;
        }
        updatedNanos = now;
        smoothed = demand + (smoothed - demand) * decay(elapsed, SMOOTHING_TIME);
        double rangeDecay = decay(elapsed, RANGE_MEMORY);
        highest = Math.max(smoothed, smoothed + (highest - smoothed) * rangeDecay);
        lowest = Math.min(smoothed, smoothed + (lowest - smoothed) * rangeDecay);
        updatePhase(now);
        forgetIfOverdue(now);
    }

    private static double decay(long elapsedNanos, Duration time) {
        return Math.exp(-(double) elapsedNanos / time.toNanos());
    }

    private void updatePhase(long now) {
        double range = highest - lowest;
        double middle = (highest + lowest) / 2;
        boolean chance = range < MIN_RANGE_DEVIATIONS * Math.sqrt(middle);
        if (inWave && smoothed < middle - HYSTERESIS * range) {
            endWave(now);
        } else if (!inWave && !chance && smoothed > middle + HYSTERESIS * range) {
            startWave(now);
        }
    }

    private void startWave(long now) {
        if (phaseStartKnown) {
            troughNanos.add(now - phaseStartNanos);
        }
        startPhase(true, now);
    }

    private void endWave(long now) {
        waveNanos.add(now - phaseStartNanos);
        startPhase(false, now);
    }

    private void startPhase(boolean wave, long now) {
        inWave = wave;
        phaseStartKnown = true;
        phaseStartNanos = now;
    }

    /** Forgets the waves if the next one is overdue by a whole period. */
    private void forgetIfOverdue(long now) {
        if (waveNanos.size() == 0 || troughNanos.size() == 0) {
            return;
        }
        long period = waveNanos.median() + troughNanos.median();
        if (now - phaseStartNanos > 2 * period) {
            waveNanos.clear();
            troughNanos.clear();
            phaseStartKnown = false;
        }
    }
}
