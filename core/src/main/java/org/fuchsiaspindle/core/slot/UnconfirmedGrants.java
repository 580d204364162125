package org.fuchsiaspindle.core.slot;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Grants of batch slots that a gateway has not confirmed.
 *
 * @param holder the gateway, not null
 * @param granted how many batch slots it was granted
 * @param confirmed how many of them it said to have received
 * @param waiting how many batch items wait there, as it said last
 * @param held how many slots it holds, as far as the coordinator knows
 */
public record UnconfirmedGrants(
        String holder, long granted, long confirmed, int waiting, int held) {

    /** Validates the components. */
    public UnconfirmedGrants {
        checkNotNull(holder, "holder");
    }
}
