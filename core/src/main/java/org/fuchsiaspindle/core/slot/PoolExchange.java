package org.fuchsiaspindle.core.slot;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;

/**
 * What a gateway and the coordinator of a pool have told each other, as the gateway knows it.
 *
 * <p>An exchange begins with a report of all slots that the gateway holds. Both sides count the
 * grants of batch slots from there, and what is left of an earlier exchange has no effect: the
 * gateway returns its grants, and the coordinator forgets them with the report. So a gateway that
 * may have missed or lost something only has to begin a new exchange.
 *
 * <p>Not thread-safe; times are monotonic nanoseconds.
 */
public final class PoolExchange {

    /** Time after which a demand that waits is sent again, because a frame may have been lost. */
    private static final Duration REPEAT_INTERVAL = Duration.ofSeconds(2);

    /** Time after which grants are confirmed if nothing else is said to the coordinator. */
    public static final Duration CONFIRMATION_DELAY = Duration.ofSeconds(1);

    /** Time in which the report of a new exchange reaches the coordinator, unless it is lost. */
    private static final Duration REPORT_TIME = Duration.ofSeconds(1);

    private String coordinator;
    private ReceivedGrants received;
    private long begunNanos;
    private BatchDemand sentDemand = BatchDemand.NONE;
    private long demandSentNanos;

    /** How a gateway answers a coordinator that asks for its slots. */
    public enum QueryAnswer {
        /** It begins a new exchange. */
        BEGIN,
        /** It repeats its demand. It has nothing else to report, so its exchange goes on. */
        REPEAT_DEMAND,
        /** It says that it holds nothing of that coordinator, because it has another one. */
        NOTHING_HELD,
        /** It has another coordinator, and finds out whether that one still answers. */
        CHECK_COORDINATOR,
        /** It need not answer: a new exchange is under way already, or it holds nothing. */
        NONE
    }

    /**
     * Begins the first exchange.
     *
     * @param coordinator the address of the coordinator, not null
     * @param number a number that no other exchange of the gateway has, not 0
     * @param now the time
     */
    public PoolExchange(String coordinator, long number, long now) {
        begin(coordinator, number, now);
    }

    /**
     * Begins a new exchange, of which the coordinator must be told.
     *
     * @param newCoordinator the address of the coordinator, not null
     * @param number a number that no other exchange of the gateway has, not 0
     * @param now the time
     */
    public void begin(String newCoordinator, long number, long now) {
        checkArgument(number != ReceivedGrants.NO_EXCHANGE, "an exchange needs a number");
        coordinator = checkNotNull(newCoordinator, "newCoordinator");
        received = new ReceivedGrants(number, 0);
        sentDemand = BatchDemand.NONE;
        begunNanos = now;
    }

    /** Returns the address of the coordinator. */
    public String coordinator() {
        return coordinator;
    }

    /** Returns the grants that were received in this exchange. */
    public ReceivedGrants received() {
        return received;
    }

    /**
     * Returns whether a grant or a revocation belongs to this exchange, so that it has an effect.
     *
     * @param from the gateway that sent it
     * @param exchange the exchange that it names, {@link ReceivedGrants#NO_EXCHANGE} if the sender
     *     runs an earlier version
     */
    public boolean includes(String from, long exchange) {
        return coordinator.equals(from)
                && (exchange == received.exchange() || exchange == ReceivedGrants.NO_EXCHANGE);
    }

    /** Counts a grant of a batch slot that belongs to this exchange. */
    public void countGrant() {
        received = new ReceivedGrants(received.exchange(), received.count() + 1);
    }

    /**
     * Returns how to answer a gateway that asks for the slots that are held.
     *
     * @param from the gateway that asks
     * @param exchange the exchange in which it is out of step, {@link ReceivedGrants#NO_EXCHANGE}
     *     if it is a new coordinator, which knows of none
     * @param hasReport whether there is something else to report than the demand
     * @param now the time
     */
    public QueryAnswer answerQuery(String from, long exchange, boolean hasReport, long now) {
        boolean isNew = exchange == ReceivedGrants.NO_EXCHANGE;
        if (!coordinator.equals(from)) {
            if (!isNew) {
                return QueryAnswer.NOTHING_HELD;
            }
            return hasReport || hasSentDemand() ? QueryAnswer.CHECK_COORDINATOR : QueryAnswer.NONE;
        }
        if (isNew && !hasReport) {
            // The demand may be what made the coordinator ask, with its grants on their way. A new
            // exchange would return them, and their slots could go to items that are due later.
            return hasSentDemand() ? QueryAnswer.REPEAT_DEMAND : QueryAnswer.NONE;
        }
        // A coordinator that still knows another exchange by then has missed the report of this
        // one.
        boolean isCurrent =
                exchange == received.exchange() || now - begunNanos > REPORT_TIME.toNanos();
        return isNew || isCurrent ? QueryAnswer.BEGIN : QueryAnswer.NONE;
    }

    /**
     * Returns the demand to send, empty if the coordinator knows it.
     *
     * @param items how many items wait, not negative
     * @param dueMillis the earliest ordered due time of one of them
     * @param avoided targets that the gateway does not want, not null
     * @param largestItemTokens the memory of a target that the largest of them can occupy, in
     *     tokens; 0 if unknown
     * @param now the time
     */
    public Optional<BatchDemand> demandToSend(
            int items,
            long dueMillis,
            ImmutableSet<String> avoided,
            int largestItemTokens,
            long now) {
        BatchDemand demand =
                new BatchDemand(items, dueMillis, received, avoided, largestItemTokens);
        if (isKnown(demand, Duration.ofNanos(now - demandSentNanos))) {
            return Optional.empty();
        }
        sentDemand = demand;
        demandSentNanos = now;
        return Optional.of(demand);
    }

    private boolean isKnown(BatchDemand demand, Duration age) {
        long unconfirmed = received.count() - sentDemand.received().count();
        if (demand.waiting() != Math.max(0, sentDemand.waiting() - unconfirmed)
                || unconfirmed > 0 && age.compareTo(CONFIRMATION_DELAY) >= 0) {
            return false;
        }
        return demand.waiting() == 0
                || age.compareTo(REPEAT_INTERVAL) < 0
                        && demand.dueMillis() == sentDemand.dueMillis()
                        && demand.largestItemTokens() == sentDemand.largestItemTokens()
                        && demand.avoided().equals(sentDemand.avoided());
    }

    /**
     * Makes the next demand be sent although the coordinator was told it already.
     *
     * @param now the time
     */
    public void repeatDemand(long now) {
        demandSentNanos = now - REPEAT_INTERVAL.toNanos();
    }

    /** Returns whether the coordinator was last told that batch items wait. */
    public boolean hasSentDemand() {
        return sentDemand.waiting() > 0;
    }
}
