package org.fuchsiaspindle.core.slot;

/** What the holder of a slot observed before it released the slot. */
public enum LeaseOutcome {
    /** The target returned a complete response. */
    DONE,
    /** The target returned an error, or broke off or corrupted its response. */
    FAILED,
    /** The target refused the request because it was full. */
    TARGET_FULL,
    /** The target could not be reached, or its address belongs to another target. */
    UNREACHABLE,
    /** The holder stopped the request or did not use the slot; says nothing about the target. */
    CANCELLED
}
