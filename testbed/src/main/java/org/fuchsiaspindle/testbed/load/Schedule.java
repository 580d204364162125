package org.fuchsiaspindle.testbed.load;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Generates seeded open-loop schedules of Poisson arrivals with bursts. */
public final class Schedule {

    private static final String ALPHABET = "abcdefghijklmnopqrstuvwxyz ";

    private Schedule() {}

    /**
     * Returns the requests of one load in order of due time.
     *
     * @param profile the parameters
     * @param seed the random seed; the same seed produces the same schedule
     */
    public static ImmutableList<ScheduledRequest> create(LoadProfile profile, long seed) {
        Random random = new Random(seed);
        String[] prefixes = new String[profile.prefixes()];
        for (int i = 0; i < prefixes.length; i++) {
            prefixes[i] = randomText(random, profile.prefixChars());
        }
        ImmutableList.Builder<ScheduledRequest> requests = ImmutableList.builder();
        long end = profile.duration().toNanos();
        long now = 0;
        long burstStart = exponential(random, profile.meanGap());
        long burstEnd = burstStart + burstLength(random, profile);
        while (true) {
            if (now >= burstEnd) {
                burstStart = now + exponential(random, profile.meanGap());
                burstEnd = burstStart + burstLength(random, profile);
            }
            boolean inBurst = now >= burstStart;
            double rate = inBurst ? profile.burstRate() : profile.baseRate();
            long next = now + exponential(random, rate);
            if (!inBurst && next > burstStart) {
                // The exponential distribution is memoryless, so the interval may be drawn again at
                // the burst rate.
                now = burstStart;
                continue;
            }
            now = next;
            if (now >= end) {
                return requests.build();
            }
            String prompt =
                    prefixes[random.nextInt(prefixes.length)]
                            + randomText(random, profile.suffixChars());
            requests.add(new ScheduledRequest(now, prompt, profile.maxTokens(), inBurst));
        }
    }

    /** Returns a random string of lower-case letters and spaces. */
    public static String randomText(Random random, int length) {
        StringBuilder text = new StringBuilder(length);
        for (int i = 0; i < length; i++) {
            text.append(ALPHABET.charAt(random.nextInt(ALPHABET.length())));
        }
        return text.toString();
    }

    private static long burstLength(Random random, LoadProfile profile) {
        long min = profile.minBurst().toNanos();
        long max = profile.maxBurst().toNanos();
        return min + (long) (random.nextDouble() * (max - min));
    }

    private static long exponential(Random random, Duration mean) {
        return (long) (-Math.log(1 - random.nextDouble()) * mean.toNanos());
    }

    private static long exponential(Random random, double rate) {
        return (long) (-Math.log(1 - random.nextDouble()) / rate * TimeUnit.SECONDS.toNanos(1));
    }
}
