package org.fuchsiaspindle.core.routing;

import java.util.Locale;

/** Why a target was a candidate. */
public enum RouteReason {
    /** The target is known to hold a prefix of the prompt. */
    PREFIX,
    /** The target has one of the highest rendezvous weights for the prompt's prefix. */
    AFFINITY,
    /** The target was chosen at random. */
    RANDOM,
    /** No other target was usable. */
    LAST_RESORT,
    /** There is no usable target. */
    NONE;

    /** Returns the lower-case name that log lines use. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
