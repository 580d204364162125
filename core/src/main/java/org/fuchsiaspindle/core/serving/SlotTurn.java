package org.fuchsiaspindle.core.serving;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;

/**
 * Decides which gateway fills a slot that became free, when several have batch items waiting.
 *
 * <p>Gateways learn of each other's calls some milliseconds late. If all of them filled a free slot
 * at once, most of their items would be stopped again before their first token. So each waits a few
 * milliseconds for every gateway that is ranked before it at that target.
 */
public final class SlotTurn {

    /** Longer than the time in which a started call becomes known to the other gateways. */
    private static final Duration STEP = Duration.ofMillis(9);

    private SlotTurn() {}

    /**
     * Returns the rank of a gateway at a target, 0 for the first.
     *
     * @param targetId the target
     * @param ownIp the address of the gateway
     * @param otherIps the addresses of the other gateways
     */
    public static int rank(String targetId, String ownIp, Collection<String> otherIps) {
        long own = weight(targetId, ownIp);
        return (int) otherIps.stream().filter(ip -> weight(targetId, ip) < own).count();
    }

    /**
     * Returns how long a slot has to be free before a gateway may fill it.
     *
     * @param rank the rank of the gateway at the target, not negative
     */
    public static Duration delay(int rank) {
        checkArgument(rank >= 0, "negative rank: %s", rank);
        return STEP.multipliedBy(rank);
    }

    private static long weight(String targetId, String ip) {
        return Hashing.murmur3_128()
                .hashString(targetId + '\n' + ip, StandardCharsets.UTF_8)
                .asLong();
    }
}
