package org.fuchsiaspindle.core.serving;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Requests that run at one target.
 *
 * @param online the online requests, not negative
 * @param batch the batch items, not negative
 */
public record TargetLoad(int online, int batch) {

    /** No request. */
    public static final TargetLoad NONE = new TargetLoad(0, 0);

    /** Checks the arguments. */
    public TargetLoad {
        checkArgument(online >= 0 && batch >= 0, "negative load: %s, %s", online, batch);
    }

    /** Returns the number of requests of both sorts. */
    public int total() {
        return online + batch;
    }

    /** Returns the sum of two loads. */
    public TargetLoad plus(TargetLoad other) {
        return new TargetLoad(online + other.online, batch + other.batch);
    }

    /** Returns what is left without a load that is a part of this one. */
    public TargetLoad minus(TargetLoad part) {
        return new TargetLoad(online - part.online, batch - part.batch);
    }
}
