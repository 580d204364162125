package org.fuchsiaspindle.core.slot;

/** The class of traffic that occupies a slot; it decides which slots are preempted. */
public enum TrafficClass {
    /** An online request, whose client waits for the response. */
    ONLINE,
    /** An item of a batch job, which is stopped if an online request needs its slot. */
    BATCH
}
