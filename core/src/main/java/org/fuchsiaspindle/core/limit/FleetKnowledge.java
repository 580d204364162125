package org.fuchsiaspindle.core.limit;

import java.time.Duration;

/**
 * Decides when a gateway that started knows enough of the fleet to use a slice, and how large the
 * fleet is.
 *
 * <p>A gateway that believes in a smaller fleet than there is uses too large a slice. It therefore
 * waits until another gateway announces the size, or until it has read the rows of all gateways in
 * the store and those that it knows have answered. One that hears nobody is alone only if the store
 * says so. Not thread-safe. Times are monotonic nanoseconds.
 */
final class FleetKnowledge {

    /** Time without changes after which a fleet of gateways that all answer is complete. */
    private static final Duration SETTLING_TIME = Duration.ofMillis(100);

    /** Time after the first answer of another gateway after which missing ones count as down. */
    private static final Duration PARTIAL_START_TIME = Duration.ofMillis(200);

    /**
     * Time after which a gateway that no other one answers uses its slice; the others have found
     * its row in the store by then.
     */
    private static final Duration ISOLATED_START_TIME = Duration.ofSeconds(30);

    /** Time after which gateways that hear each other do not wait for the store any more. */
    private static final Duration STORE_WAIT_TIME = Duration.ofSeconds(3);

    /** Time for which a size that another gateway announced is believed. */
    private static final Duration ANNOUNCED_SIZE_VALIDITY = Duration.ofMinutes(2);

    private final String self;
    private final long startNanos;
    private LimitFleet fleet;
    private long changedNanos;
    private boolean anyHeard;
    private long firstHeardNanos;
    private int announcedSize;
    private long announcedNanos;
    private boolean complete;

    FleetKnowledge(String self, LimitFleet fleet, long nowNanos) {
        this.self = self;
        this.fleet = fleet;
        this.startNanos = nowNanos;
        this.changedNanos = nowNanos;
    }

    void update(LimitFleet newFleet, long nowNanos) {
        if (!newFleet.known().equals(fleet.known()) || !newFleet.heard().equals(fleet.heard())) {
            changedNanos = nowNanos;
        }
        if (!anyHeard && !newFleet.heard().isEmpty()) {
            anyHeard = true;
            firstHeardNanos = nowNanos;
        }
        fleet = newFleet;
    }

    /** Records the size of the fleet that another gateway announced. */
    void recordAnnounced(int size, long nowNanos) {
        if (size <= 0) {
            return;
        }
        complete = true;
        if (size >= announcedSize || isAnnouncedSizeOld(nowNanos)) {
            announcedSize = size;
            announcedNanos = nowNanos;
        }
    }

    /** Returns whether the fleet is known; once it is, it stays so. */
    boolean isComplete(long nowNanos) {
        if (!complete) {
            complete =
                    fleet.storeRead()
                            ? isAlone() || isHeard(nowNanos) || isIsolated(nowNanos)
                            : isHeard(nowNanos) && hasPassed(STORE_WAIT_TIME, startNanos, nowNanos);
        }
        return complete;
    }

    private boolean isAlone() {
        return fleet.known().size() == 1;
    }

    private boolean isIsolated(long nowNanos) {
        return hasPassed(ISOLATED_START_TIME, startNanos, nowNanos);
    }

    /** Returns whether those that answer are heard, and the others count as down. */
    private boolean isHeard(long nowNanos) {
        return anyHeard
                && (allHeard() && hasPassed(SETTLING_TIME, changedNanos, nowNanos)
                        || hasPassed(PARTIAL_START_TIME, firstHeardNanos, nowNanos));
    }

    /** Returns the number of gateways known to this one, without what others announced. */
    int observedSize() {
        return Math.max(1, fleet.known().size());
    }

    /** Returns the number of gateways, which is never too small. */
    int size(long nowNanos) {
        return isAnnouncedSizeOld(nowNanos)
                ? observedSize()
                : Math.max(observedSize(), announcedSize);
    }

    private boolean allHeard() {
        return fleet.known().stream()
                .allMatch(gateway -> gateway.equals(self) || fleet.heard().contains(gateway));
    }

    private boolean isAnnouncedSizeOld(long nowNanos) {
        return announcedSize == 0 || hasPassed(ANNOUNCED_SIZE_VALIDITY, announcedNanos, nowNanos);
    }

    private static boolean hasPassed(Duration time, long sinceNanos, long nowNanos) {
        return nowNanos - sinceNanos >= time.toNanos();
    }
}
