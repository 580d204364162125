package org.fuchsiaspindle.gateway.target;

/** Who waits for a call. */
public enum CallSort {
    /** A client waits for the answer. */
    ONLINE,
    /** The call runs an item of a batch job and gives way to online calls. */
    BATCH
}
