package org.fuchsiaspindle.daemon.entry.batch;

import java.util.Locale;
import java.util.random.RandomGenerator;
import org.fuchsiaspindle.core.id.Ids;
import org.fuchsiaspindle.core.time.Clock;

/** Creates identifiers of files and jobs that sort newest first, so that lists need no index. */
final class BatchIds {

    /** Largest timestamp that fits into 11 hexadecimal digits. */
    private static final long MAX_TIMESTAMP_MS = 0xFFF_FFFF_FFFFL;

    private BatchIds() {}

    static String create(String prefix, Clock clock, RandomGenerator random) {
        long descending = MAX_TIMESTAMP_MS - clock.wallTime().toEpochMilli();
        return Ids.create(prefix + String.format(Locale.ROOT, "%011x", descending), random);
    }

    static String nonce(RandomGenerator random) {
        return Ids.create("", random);
    }
}
