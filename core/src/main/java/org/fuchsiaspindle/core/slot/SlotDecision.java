package org.fuchsiaspindle.core.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/** A decision of a coordinator that the holder must be told. */
public sealed interface SlotDecision {

    /** Returns the gateway that the decision concerns. */
    String holder();

    /** Why a request gets no slot. */
    enum Refusal {
        /** Online requests occupy all slots. */
        FULL,
        /** No target of the pool accepts the request. */
        NO_TARGET,
        /** The request would wait beyond its latest useful start. */
        OVERLOADED,
        /**
         * The request would wait beyond its latest useful start since requests of other workspaces
         * came, which are less far over their fair share.
         */
        DISPLACED,
        /** The request would be late, and served better after the present wave of requests. */
        POSTPONED,
        /** The latest useful start passed while the request waited. */
        EXPIRED
    }

    /**
     * An online request may run on a target.
     *
     * @param targetLimited whether the coordinator limits the requests to the target, so that it
     *     must be told when the target announces no limit any more
     */
    record Granted(String holder, long ticket, String target, boolean targetLimited)
            implements SlotDecision {

        /** Validates the components. */
        public Granted {
            checkNotNull(holder, "holder");
            checkNotNull(target, "target");
        }
    }

    /** An online request waits for a slot. */
    record Queued(String holder, long ticket) implements SlotDecision {

        /** Validates the components. */
        public Queued {
            checkNotNull(holder, "holder");
        }
    }

    /**
     * An online request gets no slot of the pool.
     *
     * @param expectedWait how long a request that waits now would wait; for a request that could
     *     have waited, the time after which its caller should come back
     */
    record Refused(String holder, long ticket, Refusal reason, Duration expectedWait)
            implements SlotDecision {

        /** Validates the components. */
        public Refused {
            checkNotNull(holder, "holder");
            checkNotNull(reason, "reason");
            checkNotNull(expectedWait, "expectedWait");
        }
    }

    /**
     * A waiting batch item of the holder may run on a target.
     *
     * @param ticket a new ticket for the slot
     * @param exchange the exchange in which it is granted
     * @param targetLimited as for an online request
     * @param reservedTokens the memory of the target that is reserved for the item, in tokens; 0 if
     *     unknown
     */
    record BatchGranted(
            String holder,
            long ticket,
            long exchange,
            String target,
            long dueMillis,
            boolean targetLimited,
            int reservedTokens)
            implements SlotDecision {

        /** Validates the components. */
        public BatchGranted {
            checkNotNull(holder, "holder");
            checkNotNull(target, "target");
        }
    }

    /**
     * A batch item must be stopped, because an online request got its slot.
     *
     * @param exchange the exchange with the holder in which this was decided
     */
    record Preempted(String holder, long ticket, long exchange) implements SlotDecision {

        /** Validates the components. */
        public Preempted {
            checkNotNull(holder, "holder");
        }
    }

    /**
     * The holder must report the slots that it holds, because the coordinator may know of others.
     *
     * @param exchange the exchange in which this was noticed
     * @param granted how many batch slots were granted in it
     * @param confirmed how many of them the holder said to have received
     * @param waiting how many batch items wait there, as it said last
     * @param held how many slots it holds, as far as the coordinator knows
     */
    record HoldingsQueried(
            String holder, long exchange, long granted, long confirmed, int waiting, int held)
            implements SlotDecision {

        /** Validates the components. */
        public HoldingsQueried {
            checkNotNull(holder, "holder");
        }
    }
}
