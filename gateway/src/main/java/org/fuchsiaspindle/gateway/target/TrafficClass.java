package org.fuchsiaspindle.gateway.target;

/** The class of traffic that a call belongs to; it decides which calls are preempted. */
public enum TrafficClass {
    /** An online request, whose client waits for the response. */
    ONLINE,
    /** An item of a batch job, which is stopped if online calls need its slot. */
    BATCH
}
