package org.fuchsiaspindle.core.serving;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether an idle connection to a target may carry another request, as pure functions.
 *
 * <p>Right after a response, a faulty target may send further bytes, which would be taken for the
 * start of the next response. After a long idle time, the target may be closing the connection.
 */
public final class ConnectionReuse {

    /** Time in which bytes that follow a response arrive, so that the connection is closed. */
    public static final Duration MIN_IDLE = Duration.ofMillis(5);

    /** Longest idle time if the target announces no keep-alive time. */
    static final Duration DEFAULT_KEEP_ALIVE = Duration.ofSeconds(4);

    /** How long before the end of the announced keep-alive time a connection is not used. */
    static final Duration KEEP_ALIVE_MARGIN = Duration.ofMillis(700);

    private ConnectionReuse() {}

    /** Returns whether the last response ended so recently that further bytes may follow it. */
    public static boolean isTooEarly(Duration idle) {
        return idle.compareTo(MIN_IDLE) < 0;
    }

    /**
     * Returns whether the target may be about to close the connection.
     *
     * @param idle how long the connection has been idle, not null
     * @param keepAlive how long the target keeps idle connections open, empty if it did not say so
     */
    public static boolean isTooLate(Duration idle, Optional<Duration> keepAlive) {
        Duration limit =
                keepAlive
                        .map(announced -> announced.minus(KEEP_ALIVE_MARGIN))
                        .orElse(DEFAULT_KEEP_ALIVE);
        return idle.compareTo(limit) > 0;
    }
}
