package org.fuchsiaspindle.gateway.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import org.fuchsiaspindle.core.slot.HeldSlot;
import org.fuchsiaspindle.core.slot.PoolId;
import org.fuchsiaspindle.core.slot.RunReport;
import org.fuchsiaspindle.core.slot.TrafficClass;

/**
 * A slot that this gateway holds until it releases it or its coordinator takes it back.
 *
 * <p>Confined to the event loop of the request path.
 */
public final class SlotLease {

    /** Receives the release of a lease. */
    @FunctionalInterface
    interface ReleaseListener {

        /** Called once, unless the coordinator took the slot back before. */
        void onRelease(SlotLease lease, RunReport report);
    }

    private final PoolId pool;
    private final HeldSlot slot;
    private final boolean targetLimited;
    private final ReleaseListener releaseListener;
    private Runnable revocationListener = () -> {};
    private boolean ended;

    SlotLease(PoolId pool, HeldSlot slot, boolean targetLimited, ReleaseListener releaseListener) {
        this.targetLimited = targetLimited;
        this.pool = checkNotNull(pool, "pool");
        this.slot = checkNotNull(slot, "slot");
        this.releaseListener = checkNotNull(releaseListener, "releaseListener");
    }

    /** Returns the target whose slot this is. */
    public String target() {
        return slot.target();
    }

    /**
     * Returns whether the coordinator limits the requests to the target, so that it must be told
     * when the target announces no limit any more.
     */
    public boolean isTargetLimited() {
        return targetLimited;
    }

    /** Returns what the slot was granted for. */
    public TrafficClass trafficClass() {
        return slot.trafficClass();
    }

    /** Sets the listener that is called when the coordinator takes the slot back. */
    public void onRevocation(Runnable listener) {
        revocationListener = checkNotNull(listener, "listener");
    }

    /** Releases the slot; has no effect if it was released or taken back before. */
    public void release(RunReport report) {
        checkNotNull(report, "report");
        if (!ended) {
            ended = true;
            releaseListener.onRelease(this, report);
        }
    }

    PoolId pool() {
        return pool;
    }

    HeldSlot slot() {
        return slot;
    }

    void revoke() {
        if (!ended) {
            ended = true;
            revocationListener.run();
        }
    }
}
