package org.fuchsiaspindle.core.serving;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The number of requests that run at one target.
 *
 * @param online the online requests, not negative
 * @param batch the batch items, not negative
 */
public record TargetLoad(int online, int batch) {

    /** The load of a target without requests. */
    public static final TargetLoad NONE = new TargetLoad(0, 0);

    /** Validates the components. */
    public TargetLoad {
        checkArgument(online >= 0 && batch >= 0, "negative load: %s, %s", online, batch);
    }

    /** Returns the total number of online requests and batch items. */
    public int total() {
        return online + batch;
    }

    /** Returns the sum of two loads. */
    public TargetLoad plus(TargetLoad other) {
        return new TargetLoad(online + other.online, batch + other.batch);
    }

    /** Returns the difference of this load and a load that is part of it. */
    public TargetLoad minus(TargetLoad part) {
        return new TargetLoad(online - part.online, batch - part.batch);
    }
}
