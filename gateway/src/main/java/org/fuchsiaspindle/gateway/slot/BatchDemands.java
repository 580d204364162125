package org.fuchsiaspindle.gateway.slot;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.serving.TargetInstance;
import org.fuchsiaspindle.core.slot.LeaseOutcome;
import org.fuchsiaspindle.core.slot.PoolExchange;
import org.fuchsiaspindle.core.slot.PoolId;
import org.fuchsiaspindle.core.slot.RunReport;

/**
 * Tells coordinators how many batch items of this gateway wait, and passes on the granted slots.
 *
 * <p>Pools of other data centres are asked only for items that the own data centre has not taken
 * for some time. Confined to the event loop of the request path.
 */
public final class BatchDemands {

    /** Delay of a change, so that several changes are sent at once. */
    private static final Duration SEND_DELAY = Duration.ofMillis(5);

    private static final Duration REMOTE_CHECK_INTERVAL = Duration.ofMillis(50);

    /** Time that items wait before pools of other data centres are asked. */
    private static final Duration REMOTE_DELAY = Duration.ofMillis(60);

    /** Largest number of items for which one pool of another data centre is asked at a time. */
    private static final int MAX_REMOTE_ITEMS = 4;

    /** Starts batch items in granted slots. */
    @FunctionalInterface
    public interface Listener {

        /**
         * Called with a granted slot.
         *
         * @return whether an item was started; if not, the slot is released
         */
        boolean onSlot(SlotLease lease, TargetInstance target);
    }

    /** The waiting items of a service. */
    private record Waiting(int items, long dueMillis, int largestTokens, long sinceNanos) {

        Waiting withoutOne() {
            return new Waiting(Math.max(0, items - 1), dueMillis, largestTokens, sinceNanos);
        }
    }

    private final SlotClient client;
    private final EventLoop loop;
    private final Map<String, Waiting> waitingByService = new HashMap<>();
    private Listener listener = (lease, target) -> false;
    private boolean sendScheduled;
    private boolean remoteCheckScheduled;
    private boolean confirmationScheduled;

    BatchDemands(SlotClient client, EventLoop loop) {
        this.client = checkNotNull(client, "client");
        this.loop = checkNotNull(loop, "loop");
    }

    /** Sets the listener that starts items in granted slots. */
    public void setListener(Listener newListener) {
        listener = checkNotNull(newListener, "newListener");
    }

    /**
     * Replaces the waiting items of a service.
     *
     * @param service the service, not null
     * @param items how many items wait, not negative
     * @param dueMillis the earliest ordered due time of one of them
     * @param largestTokens the memory of a target that the largest of them can occupy, in tokens; 0
     *     if unknown
     */
    public void set(String service, int items, long dueMillis, int largestTokens) {
        checkNotNull(service, "service");
        checkArgument(items >= 0, "negative number of items: %s", items);
        Waiting previous = waitingByService.get(service);
        long sinceNanos =
                previous == null || previous.items() == 0
                        ? System.nanoTime()
                        : previous.sinceNanos();
        Waiting waiting = new Waiting(items, dueMillis, largestTokens, sinceNanos);
        if (!waiting.equals(previous)) {
            waitingByService.put(service, waiting);
            changed();
        }
    }

    /** Returns the services for which a demand was set. */
    public ImmutableSet<String> services() {
        return ImmutableSet.copyOf(waitingByService.keySet());
    }

    void onGranted(SlotLease lease, TargetInstance target) {
        if (listener.onSlot(lease, target)) {
            waitingByService.computeIfPresent(
                    target.service(), (service, waiting) -> waiting.withoutOne());
        } else {
            lease.release(RunReport.unused(LeaseOutcome.CANCELLED));
        }
    }

    /** Schedules that coordinators are told what has changed for them. */
    void changed() {
        if (!sendScheduled) {
            sendScheduled = true;
            loop.schedule(
                    () -> {
                        sendScheduled = false;
                        send();
                    },
                    SEND_DELAY.toMillis(),
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Lets the coordinators know within some time that their grants have arrived. */
    void confirmGrants() {
        if (!confirmationScheduled) {
            confirmationScheduled = true;
            loop.schedule(
                    () -> {
                        confirmationScheduled = false;
                        send();
                    },
                    PoolExchange.CONFIRMATION_DELAY.toMillis(),
                    TimeUnit.MILLISECONDS);
        }
    }

    private void checkRemote() {
        remoteCheckScheduled = false;
        send();
    }

    /** Tells coordinators at once what has changed for them. */
    void send() {
        boolean anyWaiting =
                waitingByService.values().stream().anyMatch(waiting -> waiting.items() > 0);
        if (anyWaiting && !remoteCheckScheduled) {
            remoteCheckScheduled = true;
            loop.schedule(
                    this::checkRemote, REMOTE_CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        }
        long now = System.nanoTime();
        waitingByService.forEach(
                (service, waiting) -> {
                    boolean askRemote = now - waiting.sinceNanos() > REMOTE_DELAY.toNanos();
                    boolean hasLocalPool = false;
                    for (PoolId pool : client.pools(service)) {
                        boolean local = client.isLocal(pool);
                        hasLocalPool |= local;
                        int items = waiting.items();
                        if (!local) {
                            boolean ask = askRemote || !hasLocalPool;
                            items = ask ? Math.min(items, MAX_REMOTE_ITEMS) : 0;
                        }
                        send(pool, items, waiting, client.avoidedTargets(pool), now);
                    }
                });
    }

    private void send(
            PoolId pool, int items, Waiting waiting, ImmutableSet<String> avoided, long now) {
        PoolHoldings holdings = client.holdings(pool);
        holdings.exchange()
                .demandToSend(items, waiting.dueMillis(), avoided, waiting.largestTokens(), now)
                .ifPresent(
                        demand ->
                                client.send(
                                        holdings.coordinator(),
                                        SlotCodec.demand(
                                                pool, demand, holdings.grantsInAllExchanges())));
    }
}
