package org.fuchsiaspindle.core.limit;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.fuchsiaspindle.core.limit.LimitMessage.PermitReply;
import org.fuchsiaspindle.core.limit.LimitMessage.PermitRequest;
import org.fuchsiaspindle.core.limit.LimitMessage.PermitReturn;

/**
 * Obtains permits for the requests at one gateway from the granters of their workspaces.
 *
 * <p>An occasional request asks for one permit. A workspace with many requests at this gateway gets
 * some in advance, which are valid for a short time. Not thread-safe. Times are monotonic
 * nanoseconds that also pass while the process is suspended. Listeners may call back.
 */
public final class PermitHolder {

    /** Time between two calls of {@link #tick} while requests wait. */
    public static final Duration TICK_INTERVAL = Duration.ofMillis(10);

    /** Time from a request for permits until the permits expire. */
    static final Duration PERMIT_VALIDITY = Duration.ofMillis(100);

    /** Time without an answer after which the granter is asked again. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(30);

    /** Time whose expected demand is obtained in advance. */
    private static final Duration ADVANCE_TIME = Duration.ofMillis(40);

    /** Time constant of the moving average of demand. */
    private static final Duration AVERAGING_TIME = Duration.ofSeconds(1);

    /** Time without requests after which a workspace is forgotten. */
    private static final Duration IDLE_TIME = Duration.ofSeconds(10);

    /** Retry time if no granter answered; by then the slices are likely to be lent to another. */
    private static final Duration NO_ANSWER_RETRY_AFTER = Duration.ofMillis(300);

    /** Retry time while slices move to another granter. */
    private static final Duration SHARE_MISSING_RETRY_AFTER = Duration.ofMillis(300);

    /** Share of the limit below which a refusal is rather due to missing slices. */
    private static final double USUAL_SHARE = 0.5;

    /** Receives the decision on one request. */
    public interface Listener {

        /** Called if the request may be sent to a target now. */
        void onPermitted(Permit permit);

        /** Called if the request gets no permit. */
        void onRefused(LimitRefusal refusal);
    }

    /** A request that waits for a permit. */
    public static final class Waiting {
        private final Listener listener;
        private final long untilNanos;
        private boolean ended;
        private boolean overdue;
        private boolean parked;
        private long parkedUntilNanos;

        Waiting(Listener listener, long untilNanos) {
            this.listener = listener;
            this.untilNanos = untilNanos;
        }

        boolean needsPermit(long nowNanos) {
            return !ended && !(parked && nowNanos - parkedUntilNanos < 0);
        }

        /** Ends the wait without a call of the listener; has no effect after one. */
        public void cancel() {
            ended = true;
        }
    }

    /** Permits from one answer that are not used yet. */
    private static final class Stock {
        private final Permit permit;
        private int count;

        Stock(Permit permit, int count) {
            this.permit = permit;
            this.count = count;
        }
    }

    /** A request for permits without an answer. */
    private static final class PendingRequest {
        private final Account account;
        private final int count;
        private final long sentNanos;
        private boolean timedOut;

        PendingRequest(Account account, int count, long sentNanos) {
            this.account = account;
            this.count = count;
            this.sentNanos = sentNanos;
        }

        /** Lets the granter be asked again; an answer that comes late is used all the same. */
        void timeOut() {
            if (!timedOut) {
                timedOut = true;
                account.requestedPermits -= count;
            }
        }
    }

    /** The permits and waiting requests of one workspace. */
    private static final class Account {
        private final String workspace;
        private final Deque<Stock> stock = new ArrayDeque<>();
        private final Deque<Waiting> waiting = new ArrayDeque<>();
        private VersionedLimit limit;
        private double demandPerSecond;
        private long demandNanos;
        private int requestedPermits;
        private Optional<PermitReply> lastReply = Optional.empty();
        private String lastGranter = "-";
        private long lastReplyNanos;

        Account(String workspace, VersionedLimit limit, long nowNanos) {
            this.workspace = workspace;
            this.limit = limit;
            this.demandNanos = nowNanos;
            this.lastReplyNanos = nowNanos;
        }

        /** Returns the number of requests that need permits which were not asked for. */
        int missing(long nowNanos) {
            int needed = 0;
            for (Waiting request : waiting) {
                needed += request.needsPermit(nowNanos) ? 1 : 0;
            }
            return needed - requestedPermits;
        }

        void recordDemand(long nowNanos) {
            double elapsed = Math.max(0, nowNanos - demandNanos);
            double average = AVERAGING_TIME.toNanos();
            demandPerSecond =
                    demandPerSecond * Math.exp(-elapsed / average)
                            + TimeUnit.SECONDS.toNanos(1) / average;
            demandNanos = nowNanos;
        }
    }

    private final Function<String, Optional<String>> granters;
    private final LimitSender sender;
    private final Map<String, Account> accounts = new HashMap<>();
    private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();

    /** The workspaces with waiting requests or unused permits. */
    private final Set<Account> busy = new LinkedHashSet<>();

    private long nextId;

    private PermitHolder(
            long firstId, Function<String, Optional<String>> granters, LimitSender sender) {
        this.nextId = firstId;
        this.granters = granters;
        this.sender = sender;
    }

    /**
     * Creates a holder without permits.
     *
     * @param firstId identifies its first request; random, so that answers to a former process at
     *     this address are recognised
     * @param granters returns the granter of a workspace, empty if none is known
     * @param sender sends its messages, not null
     */
    public static PermitHolder create(
            long firstId, Function<String, Optional<String>> granters, LimitSender sender) {
        return new PermitHolder(
                firstId, checkNotNull(granters, "granters"), checkNotNull(sender, "sender"));
    }

    /**
     * Obtains a permit for one request; the listener may be called before this returns.
     *
     * @param workspace the workspace, not null
     * @param limit its limit, not null
     * @param timeout how long the request may wait for a permit, not null
     * @param listener receives the decision, not null
     * @param nowNanos the time
     * @return the wait for the permit, which can be cancelled; over already if the listener was
     *     called
     */
    public Waiting acquire(
            String workspace,
            VersionedLimit limit,
            Duration timeout,
            Listener listener,
            long nowNanos) {
        Account account =
                accounts.computeIfAbsent(workspace, key -> new Account(key, limit, nowNanos));
        if (limit.version() > account.limit.version()) {
            account.limit = limit;
        }
        account.recordDemand(nowNanos);
        Waiting waiting = new Waiting(listener, nowNanos + timeout.toNanos());
        account.waiting.add(waiting);
        busy.add(account);
        serve(account, nowNanos);
        requestMissing(account, nowNanos);
        return waiting;
    }

    /** Gives back a permit with which no request reached a target. */
    public void giveBack(Permit permit, long nowNanos) {
        Account account = accounts.get(permit.workspace());
        long expiredNanos = nowNanos - permit.validUntilNanos();
        if (account == null || expiredNanos >= 0) {
            // The granter takes back nothing that was granted long ago.
            if (expiredNanos < PermitGranter.RETURN_WINDOW.toNanos()) {
                sendReturn(permit, 1);
            }
            return;
        }
        account.stock.add(new Stock(permit, 1));
        busy.add(account);
        serve(account, nowNanos);
    }

    /** Handles the answer of a granter. */
    public void handle(String from, PermitReply reply, long nowNanos) {
        PendingRequest pending = pendingRequests.remove(reply.id());
        if (pending == null) {
            if (reply.granted() > 0) {
                sendReturn(permit(from, reply, nowNanos), reply.granted());
            }
            return;
        }
        Account account = pending.account;
        pending.timeOut();
        account.lastReply = Optional.of(reply);
        account.lastGranter = from;
        account.lastReplyNanos = nowNanos;
        if (reply.granted() > 0) {
            long validUntilNanos = pending.sentNanos + PERMIT_VALIDITY.toNanos();
            account.stock.add(new Stock(permit(from, reply, validUntilNanos), reply.granted()));
            busy.add(account);
            serve(account, nowNanos);
        }
        if (reply.granted() < pending.count) {
            parkOrRefuse(account, reply, nowNanos);
        }
        requestMissing(account, nowNanos);
    }

    /** Handles what timed out; called at {@link #TICK_INTERVAL} while requests wait. */
    public void tick(long nowNanos) {
        for (Iterator<PendingRequest> iterator = pendingRequests.values().iterator();
                iterator.hasNext(); ) {
            PendingRequest pending = iterator.next();
            if (nowNanos - pending.sentNanos >= ANSWER_TIMEOUT.toNanos()) {
                pending.timeOut();
            }
            if (nowNanos - pending.sentNanos >= PERMIT_VALIDITY.toNanos()) {
                iterator.remove();
            }
        }
        for (Account account : List.copyOf(busy)) {
            serve(account, nowNanos);
            refuseExpired(account, nowNanos);
            requestMissing(account, nowNanos);
            if (account.waiting.isEmpty() && account.stock.isEmpty()) {
                busy.remove(account);
            }
        }
    }

    /** Drops the state of idle workspaces. */
    public void prune(long nowNanos) {
        accounts.values()
                .removeIf(
                        account ->
                                !busy.contains(account)
                                        && account.requestedPermits == 0
                                        && nowNanos - account.demandNanos > IDLE_TIME.toNanos());
    }

    /** Returns whether {@link #tick} must be called. */
    public boolean isActive() {
        return !pendingRequests.isEmpty() || !busy.isEmpty();
    }

    private void serve(Account account, long nowNanos) {
        dropExpired(account, nowNanos);
        while (!account.stock.isEmpty()) {
            Waiting next = nextWaiting(account);
            if (next == null) {
                return;
            }
            Stock stock = account.stock.peek();
            stock.count--;
            if (stock.count == 0) {
                account.stock.remove();
            }
            end(next);
            next.listener.onPermitted(stock.permit);
        }
    }

    private static void end(Waiting waiting) {
        waiting.ended = true;
    }

    private void dropExpired(Account account, long nowNanos) {
        for (Iterator<Stock> iterator = account.stock.iterator(); iterator.hasNext(); ) {
            Stock stock = iterator.next();
            if (nowNanos - stock.permit.validUntilNanos() >= 0) {
                iterator.remove();
                sendReturn(stock.permit, stock.count);
            }
        }
    }

    /** Removes and returns the request that has waited longest, null if none waits. */
    private static Waiting nextWaiting(Account account) {
        Waiting next = account.waiting.poll();
        while (next != null && next.ended) {
            next = account.waiting.poll();
        }
        return next;
    }

    private void requestMissing(Account account, long nowNanos) {
        account.waiting.removeIf(waiting -> waiting.ended);
        int missing = account.missing(nowNanos);
        if (missing <= 0) {
            return;
        }
        Optional<String> granter = granters.apply(account.workspace);
        if (granter.isEmpty()) {
            return;
        }
        int inAdvance =
                (int) (account.demandPerSecond * ADVANCE_TIME.toMillis() / 1000)
                        - account.requestedPermits;
        int count = missing + Math.max(0, inAdvance);
        long id = nextId++;
        pendingRequests.put(id, new PendingRequest(account, count, nowNanos));
        account.requestedPermits += count;
        sender.send(granter.get(), new PermitRequest(id, account.workspace, count, account.limit));
    }

    /**
     * Lets the requests that the granter had no permits for wait until it expects some, and refuses
     * those that can't wait that long.
     */
    private void parkOrRefuse(Account account, PermitReply reply, long nowNanos) {
        long retryNanos = nowNanos + reply.retryAfter().toNanos();
        int unserved = account.missing(nowNanos);
        List<Waiting> refused = new ArrayList<>();
        for (Iterator<Waiting> iterator = account.waiting.iterator();
                iterator.hasNext() && unserved > 0; ) {
            Waiting waiting = iterator.next();
            if (waiting.needsPermit(nowNanos)) {
                unserved--;
                if (waiting.untilNanos - retryNanos < 0) {
                    iterator.remove();
                    refused.add(waiting);
                } else {
                    waiting.parked = true;
                    waiting.parkedUntilNanos = retryNanos;
                }
            }
        }
        refused.forEach(waiting -> refuse(account, waiting, nowNanos));
    }

    /**
     * Refuses requests that have waited long enough. One tick passes before, because answers may
     * wait to be read if this process was held up.
     */
    private void refuseExpired(Account account, long nowNanos) {
        List<Waiting> expired =
                account.waiting.stream().filter(waiting -> waiting.overdue).toList();
        account.waiting.removeAll(expired);
        for (Waiting waiting : account.waiting) {
            waiting.overdue = nowNanos - waiting.untilNanos >= 0;
        }
        expired.forEach(waiting -> refuse(account, waiting, nowNanos));
    }

    private void refuse(Account account, Waiting waiting, long nowNanos) {
        if (!waiting.ended) {
            end(waiting);
            waiting.listener.onRefused(refusal(account, nowNanos));
        }
    }

    private static LimitRefusal refusal(Account account, long nowNanos) {
        Duration age = Duration.ofNanos(nowNanos - account.lastReplyNanos);
        boolean answered = account.lastReply.isPresent() && age.compareTo(PERMIT_VALIDITY) < 0;
        if (!answered) {
            return new LimitRefusal(
                    LimitRefusal.Cause.NO_ANSWER,
                    NO_ANSWER_RETRY_AFTER,
                    account.lastGranter,
                    0,
                    account.lastReply.isPresent() ? age : Duration.ZERO);
        }
        PermitReply reply = account.lastReply.get();
        boolean shareMissing = reply.share() < USUAL_SHARE;
        Duration retryAfter =
                shareMissing && reply.retryAfter().compareTo(SHARE_MISSING_RETRY_AFTER) < 0
                        ? SHARE_MISSING_RETRY_AFTER
                        : reply.retryAfter();
        return new LimitRefusal(
                shareMissing ? LimitRefusal.Cause.SHARE_MISSING : LimitRefusal.Cause.OVER_LIMIT,
                retryAfter,
                account.lastGranter,
                reply.share(),
                age);
    }

    private static Permit permit(String from, PermitReply reply, long validUntilNanos) {
        return new Permit(
                reply.workspace(),
                from,
                reply.granterEpoch(),
                reply.grantedNanos(),
                validUntilNanos);
    }

    private void sendReturn(Permit permit, int count) {
        sender.send(
                permit.granter(),
                new PermitReturn(
                        permit.workspace(), count, permit.granterEpoch(), permit.grantedNanos()));
    }
}
