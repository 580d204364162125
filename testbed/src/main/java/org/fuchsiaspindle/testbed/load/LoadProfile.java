package org.fuchsiaspindle.testbed.load;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Parameters of an online load with bursts.
 *
 * @param duration duration of the load
 * @param baseRate requests per second between bursts
 * @param burstRate requests per second in a burst
 * @param meanGap mean time between two bursts
 * @param minBurst duration of the shortest burst
 * @param maxBurst duration of the longest burst
 * @param prefixes number of distinct prompt prefixes that requests share
 * @param prefixChars length of a shared prefix in characters
 * @param suffixChars length of the unique part of a prompt in characters
 * @param maxTokens maximum number of output tokens of each request
 */
public record LoadProfile(
        Duration duration,
        double baseRate,
        double burstRate,
        Duration meanGap,
        Duration minBurst,
        Duration maxBurst,
        int prefixes,
        int prefixChars,
        int suffixChars,
        int maxTokens) {

    /** Validates the components. */
    public LoadProfile {
        checkArgument(duration.isPositive(), "duration not positive: %s", duration);
        checkArgument(baseRate > 0, "base rate not positive: %s", baseRate);
        checkArgument(burstRate >= baseRate, "burst rate below base rate: %s", burstRate);
        checkArgument(meanGap.isPositive(), "mean gap not positive: %s", meanGap);
        checkArgument(
                minBurst.compareTo(maxBurst) <= 0, "shortest burst longer than longest burst");
        checkArgument(prefixes > 0, "number of prefixes not positive: %s", prefixes);
        checkArgument(maxTokens > 0, "maxTokens not positive: %s", maxTokens);
    }
}
