package org.fuchsiaspindle.gateway.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.fuchsiaspindle.core.serving.TargetInstance;
import org.fuchsiaspindle.core.slot.HeldSlot;
import org.fuchsiaspindle.core.slot.PoolId;
import org.fuchsiaspindle.core.slot.SlotDecision.Refusal;
import org.fuchsiaspindle.core.slot.SlotRequest;
import org.fuchsiaspindle.core.slot.TrafficClass;
import org.fuchsiaspindle.core.work.RequestSize;

/**
 * Obtains a slot for one online request.
 *
 * <p>The pools of the service are asked one after the other. If all are full, the request waits in
 * the one with the shortest expected wait; if none has a healthy target, an unhealthy one is used.
 * Confined to the event loop of the request path.
 */
public final class SlotAcquisition {

    /**
     * Time without an answer after which the next pool is asked; longer than a process is stopped
     * when it has used up its processor share.
     */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(120);

    /** Time between two attempts while no target is known. */
    private static final Duration NO_TARGET_RETRY_DELAY = Duration.ofMillis(25);

    /** Number of attempts over all pools. */
    private static final int MAX_ROUNDS = 8;

    /** Receives the result of an acquisition, never within the call that started it. */
    public interface Listener {

        /** Called when a slot was obtained; the listener must release it. */
        void onGranted(SlotLease lease, TargetInstance target);

        /**
         * Called when no slot can be obtained in time.
         *
         * @param reason why
         * @param expectedWait how long another request would wait, zero if unknown
         */
        void onRefused(Refusal reason, Duration expectedWait);
    }

    /**
     * What a slot is needed for.
     *
     * @param service the service, not null
     * @param priority the priority of the workspace or route, 0 is the most urgent
     * @param workspace the workspace of the caller, empty if there are no workspaces
     * @param size what is known of the size of the request, not null
     * @param onTimeUntilNanos the latest start for a response within the latency target, in
     *     monotonic nanoseconds
     * @param startUntilNanos the latest useful start, in monotonic nanoseconds
     * @param retryUntilNanos until when to try again while no target is known, in monotonic
     *     nanoseconds
     * @param avoided targets that are used only if there is no other, not null
     */
    public record Need(
            String service,
            int priority,
            String workspace,
            RequestSize size,
            long onTimeUntilNanos,
            long startUntilNanos,
            long retryUntilNanos,
            ImmutableSet<String> avoided) {

        /** Validates the components. */
        public Need {
            checkNotNull(service, "service");
            checkNotNull(workspace, "workspace");
            checkNotNull(size, "size");
            checkNotNull(avoided, "avoided");
        }
    }

    private enum Phase {
        LOOKING,
        WAITING,
        LAST_RESORT
    }

    private final SlotClient client;
    private final Need need;
    private final Listener listener;
    private final Deque<PoolId> unasked = new ArrayDeque<>();
    private final Map<PoolId, Duration> waits = new HashMap<>();
    private Phase phase = Phase.LOOKING;
    private int rounds;
    private PoolId pool;
    private String coordinator;
    private long ticket;
    private long askedNanos;
    private boolean asking;
    private boolean ended;
    private ScheduledFuture<?> timer;

    SlotAcquisition(SlotClient client, Need need, Listener listener) {
        this.client = checkNotNull(client, "client");
        this.need = checkNotNull(need, "need");
        this.listener = checkNotNull(listener, "listener");
    }

    /** Withdraws the request; the listener is not called again. */
    public void cancel() {
        ended = true;
        withdraw();
    }

    /** Starts from the first pool again, because the coordinator that was asked has changed. */
    void restart() {
        withdraw();
        rounds = 0;
        startRound();
    }

    void start() {
        startRound();
    }

    boolean isAsking(String ip) {
        return asking && ip.equals(coordinator);
    }

    void onGranted(String target, boolean targetLimited) {
        endAsking();
        SlotLease lease =
                client.addLease(
                        pool,
                        new HeldSlot(
                                ticket, target, TrafficClass.ONLINE, 0, need.size().maxTokens()),
                        targetLimited);
        Optional<TargetInstance> instance = client.usableTarget(target);
        if (instance.isEmpty()) {
            client.releaseUnusable(lease);
            startRound();
            return;
        }
        ended = true;
        listener.onGranted(lease, instance.get());
    }

    void onQueued() {
        cancelTimer();
    }

    void onRefused(Refusal reason, Duration expectedWait) {
        endAsking();
        switch (phase) {
            case LOOKING -> {
                if (reason == Refusal.FULL) {
                    waits.put(pool, expectedWait);
                }
                askNext();
            }
            case WAITING -> {
                if (reason == Refusal.NO_TARGET) {
                    waits.remove(pool);
                    waitOrUseLastResort();
                } else {
                    refuse(reason, expectedWait);
                }
            }
            case LAST_RESORT -> askNext();
            default -> throw new AssertionError(phase);
        }
    }

    private void startRound() {
        if (ended) {
            return;
        }
        if (++rounds > MAX_ROUNDS) {
            refuse(Refusal.NO_TARGET, Duration.ZERO);
            return;
        }
        phase = Phase.LOOKING;
        waits.clear();
        unasked.clear();
        unasked.addAll(client.pools(need.service()));
        if (unasked.size() == 1) {
            waits.put(unasked.poll(), Duration.ZERO);
        }
        askNext();
    }

    private void askNext() {
        if (!unasked.isEmpty()) {
            ask(unasked.poll(), phase == Phase.LAST_RESORT);
        } else if (phase == Phase.LAST_RESORT) {
            retryOrRefuse();
        } else {
            waitOrUseLastResort();
        }
    }

    /** Waits in the pool with the shortest wait, or considers every target if no pool has one. */
    private void waitOrUseLastResort() {
        Optional<PoolId> shortest =
                waits.entrySet().stream().min(Map.Entry.comparingByValue()).map(Map.Entry::getKey);
        if (shortest.isPresent()) {
            phase = Phase.WAITING;
            ask(shortest.get(), false);
            return;
        }
        phase = Phase.LAST_RESORT;
        unasked.addAll(client.pools(need.service()));
        askNext();
    }

    private void retryOrRefuse() {
        if (need.retryUntilNanos() - System.nanoTime() > 0) {
            rounds--;
            timer = client.schedule(this::startRound, NO_TARGET_RETRY_DELAY);
        } else {
            refuse(Refusal.NO_TARGET, Duration.ZERO);
        }
    }

    private void ask(PoolId askedPool, boolean lastResort) {
        pool = askedPool;
        askedNanos = System.nanoTime();
        asking = true;
        ticket = client.nextTicket();
        ImmutableSet<String> avoided =
                ImmutableSet.<String>builder()
                        .addAll(need.avoided())
                        .addAll(client.avoidedTargets(askedPool))
                        .build();
        SlotRequest request =
                new SlotRequest(
                        client.ip(),
                        ticket,
                        phase == Phase.WAITING,
                        need.priority(),
                        need.workspace(),
                        need.size(),
                        need.onTimeUntilNanos(),
                        need.startUntilNanos(),
                        avoided,
                        lastResort);
        coordinator = client.send(this, askedPool, request, askedNanos);
        timer = client.schedule(this::answerMissing, ANSWER_TIMEOUT);
    }

    private void answerMissing() {
        PoolId silentPool = pool;
        client.recordUnanswered(coordinator, askedNanos);
        withdraw();
        if (ended) {
            return;
        }
        if (phase == Phase.WAITING) {
            waits.remove(silentPool);
            if (waits.isEmpty()) {
                startRound();
            } else {
                waitOrUseLastResort();
            }
        } else {
            askNext();
        }
    }

    private void refuse(Refusal reason, Duration expectedWait) {
        ended = true;
        listener.onRefused(reason, expectedWait);
    }

    /** Withdraws the request from the coordinator that was asked last, if it is still open. */
    private void withdraw() {
        if (asking) {
            client.withdraw(pool, ticket, coordinator);
        }
        endAsking();
    }

    private void endAsking() {
        if (asking) {
            asking = false;
            client.forget(pool, ticket);
        }
        cancelTimer();
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
