package org.fuchsiaspindle.core.slot;

import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.fuchsiaspindle.core.serving.TargetInstance;
import org.fuchsiaspindle.core.slot.SlotDecision.BatchGranted;
import org.fuchsiaspindle.core.slot.SlotDecision.Granted;
import org.fuchsiaspindle.core.slot.SlotDecision.Preempted;
import org.fuchsiaspindle.core.slot.SlotDecision.Queued;
import org.fuchsiaspindle.core.slot.SlotDecision.Refused;
import org.fuchsiaspindle.core.work.RequestSize;

/** Replays a seeded load of online requests and batch items on one pool, in virtual time. */
final class PoolReplay {

    /** The workspace with the largest rate. */
    static final String LARGEST = name(1);

    private static final int TARGETS = 8;
    private static final int SLOTS = 8;

    /**
     * The load.
     *
     * @param workspaces the number of workspaces, whose rates fall with their rank
     * @param requestsPerSecond the mean rate of all workspaces together
     * @param low the rate in troughs, in multiples of the mean
     * @param high the rate in waves
     * @param hotFactor the rate of the largest workspace in multiples of its usual one, in {@code
     *     hotFrom} to {@code hotUntil}
     * @param itemsWaiting the number of batch items that wait at any time
     * @param itemTime the run time of an item
     */
    record Load(
            int workspaces,
            double requestsPerSecond,
            double low,
            double high,
            double hotFactor,
            Duration hotFrom,
            Duration hotUntil,
            int itemsWaiting,
            Duration itemTime) {}

    /** What became of the requests of one workspace. */
    static final class Counts {
        int offered;
        int started;

        /** Those that started on time at the first attempt. */
        int onTime;

        int refused;

        void add(Counts other) {
            offered += other.offered;
            started += other.started;
            onTime += other.onTime;
            refused += other.refused;
        }

        double onTimeShare() {
            return (double) onTime / offered;
        }

        double servedShare() {
            return (double) started / offered;
        }
    }

    private static final Duration LENGTH = Duration.ofSeconds(40);
    private static final Duration TROUGH = Duration.ofMillis(3000);
    private static final Duration WAVE = Duration.ofMillis(2200);
    private static final Duration HOLD_TIME = Duration.ofMillis(700);
    private static final Duration ON_TIME = Duration.ofMillis(230);
    private static final Duration DEADLINE = Duration.ofMillis(4500);
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(20);

    /** Time that a preempted item needs to get back to where it was. */
    private static final Duration RESTART_TIME = Duration.ofMillis(60);

    private record Event(long time, long number, Runnable action) {}

    private record Caller(
            String workspace, long deadline, long onTimeUntil, long holdNanos, boolean retried) {}

    private record Item(long left) {}

    private record ItemRun(Item item, long started) {}

    final Map<String, Counts> counts = new TreeMap<>();
    int completedItems;
    int cutRuns;

    private final Load load;
    private final boolean workspaces;
    private final boolean startTimes;
    private final SlotPool pool = SlotPool.create(1_000_000_000L);
    private final Random arrivals;
    private final Random itemTimes;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.time == b.time
                                    ? Long.compare(a.number, b.number)
                                    : Long.compare(a.time, b.time));
    private final Map<Long, Caller> callers = new HashMap<>();
    private final Map<Long, ItemRun> runs = new HashMap<>();
    private final Deque<Item> items = new ArrayDeque<>();
    private long now;
    private long nextNumber;
    private long nextTicket;
    private long grants;
    private double idleSlotNanos;
    private int onlineRunning;
    private long integratedUntil;

    /**
     * Creates a replay.
     *
     * @param load the load
     * @param workspaces whether requests name their workspace
     * @param startTimes whether reports of items say when their first event came
     * @param seed the seed
     */
    PoolReplay(Load load, boolean workspaces, boolean startTimes, long seed) {
        this.load = load;
        this.workspaces = workspaces;
        this.startTimes = startTimes;
        this.arrivals = new Random(seed);
        this.itemTimes = new Random(seed);
    }

    PoolReplay run() {
        List<TargetInstance> targets =
                IntStream.range(0, TARGETS).mapToObj(PoolReplay::target).toList();
        apply(pool.setTargets(targets, 0));
        double weights = 0;
        for (int rank = 1; rank <= load.workspaces; rank++) {
            weights += 1.0 / rank;
        }
        for (int rank = 1; rank <= load.workspaces; rank++) {
            String name = name(rank);
            counts.put(name, new Counts());
            arriveNext(name, rank == 1, load.requestsPerSecond / rank / weights);
        }
        for (int i = 0; i < load.itemsWaiting; i++) {
            items.add(newItem());
        }
        check();
        while (!events.isEmpty() && events.peek().time <= LENGTH.toNanos()) {
            Event event = events.remove();
            integrate(event.time);
            now = event.time;
            event.action.run();
        }
        return this;
    }

    /** Returns the share of slots that were idle although items waited. */
    double idleShare() {
        return idleSlotNanos / ((double) TARGETS * SLOTS * LENGTH.toNanos());
    }

    /** Returns the counts of all workspaces but one, or of all if that is empty. */
    Counts total(String except) {
        Counts total = new Counts();
        counts.forEach(
                (name, count) -> {
                    if (!name.equals(except)) {
                        total.add(count);
                    }
                });
        return total;
    }

    private static String name(int rank) {
        return "workspace-%02d".formatted(rank);
    }

    private static TargetInstance target(int number) {
        return new TargetInstance(
                "t" + number,
                "model",
                HostAndPort.fromParts("10.0.0.1", 80),
                "zone-a",
                SLOTS,
                false,
                0);
    }

    private static double spread(Random random) {
        return 0.75 + 0.5 * random.nextDouble();
    }

    private void integrate(long until) {
        long elapsed = until - integratedUntil;
        integratedUntil = until;
        int busy = onlineRunning + runs.size();
        idleSlotNanos += items.isEmpty() ? 0 : (double) (TARGETS * SLOTS - busy) * elapsed;
    }

    private void at(long time, Runnable action) {
        events.add(new Event(time, nextNumber++, action));
    }

    private void check() {
        demand();
        apply(pool.checkTimes(now));
        at(now + CHECK_INTERVAL.toNanos(), this::check);
    }

    private void arriveNext(String workspace, boolean hot, double meanRate) {
        long inPeriod = now % TROUGH.plus(WAVE).toNanos();
        double rate = meanRate * (inPeriod < TROUGH.toNanos() ? load.low : load.high);
        if (hot && now >= load.hotFrom.toNanos() && now < load.hotUntil.toNanos()) {
            rate *= load.hotFactor;
        }
        double gap = -Math.log(1 - arrivals.nextDouble()) / rate * Duration.ofSeconds(1).toNanos();
        long step = Duration.ofMillis(100).toNanos();
        if (gap > step) {
            // Chance has no memory, so the draw is repeated when the rate may have changed.
            at(now + step, () -> arriveNext(workspace, hot, meanRate));
            return;
        }
        at(
                now + (long) gap,
                () -> {
                    counts.get(workspace).offered++;
                    request(
                            new Caller(
                                    workspace,
                                    now + DEADLINE.toNanos(),
                                    now + ON_TIME.toNanos(),
                                    (long) (HOLD_TIME.toNanos() * spread(arrivals)),
                                    false));
                    arriveNext(workspace, hot, meanRate);
                });
    }

    private void request(Caller caller) {
        long ticket = nextTicket++;
        callers.put(ticket, caller);
        apply(
                pool.request(
                        new SlotRequest(
                                "g",
                                ticket,
                                true,
                                0,
                                workspaces ? caller.workspace : "",
                                RequestSize.UNKNOWN,
                                caller.onTimeUntil,
                                caller.deadline - HOLD_TIME.toNanos(),
                                ImmutableSet.of(),
                                false),
                        now));
    }

    private Item newItem() {
        return new Item((long) (load.itemTime.toNanos() * spread(itemTimes)));
    }

    private void demand() {
        apply(
                pool.demand(
                        "b",
                        new BatchDemand(
                                items.size(),
                                1000,
                                new ReceivedGrants(ReceivedGrants.NO_EXCHANGE, grants),
                                ImmutableSet.of(),
                                0),
                        now));
    }

    private void apply(List<SlotDecision> decisions) {
        for (SlotDecision decision : decisions) {
            switch (decision) {
                case Granted granted -> start(granted.ticket());
                case Refused refused -> refused(refused);
                case BatchGranted granted -> startItem(granted.ticket());
                case Preempted preempted -> cut(preempted.ticket());
                case SlotDecision.HoldingsQueried query -> throw new AssertionError(query);
                case Queued queued -> {}
            }
        }
    }

    private void start(long ticket) {
        Caller caller = callers.get(ticket);
        Counts count = counts.get(caller.workspace);
        count.started++;
        count.onTime += now <= caller.onTimeUntil && !caller.retried ? 1 : 0;
        onlineRunning++;
        at(
                now + caller.holdNanos,
                () -> {
                    onlineRunning--;
                    apply(pool.release("g", ticket, RunReport.unused(LeaseOutcome.DONE), now));
                });
    }

    private void refused(Refused refused) {
        Caller caller = callers.get(refused.ticket());
        counts.get(caller.workspace).refused++;
        long retry = now + refused.expectedWait().toNanos();
        if (!caller.retried && retry - now <= (caller.deadline - now) / 3) {
            at(
                    retry,
                    () ->
                            request(
                                    new Caller(
                                            caller.workspace,
                                            caller.deadline,
                                            now + ON_TIME.toNanos(),
                                            caller.holdNanos,
                                            true)));
        }
    }

    private void startItem(long ticket) {
        grants++;
        Item item = items.remove();
        runs.put(ticket, new ItemRun(item, now));
        at(now + item.left, () -> completeItem(ticket));
    }

    private void completeItem(long ticket) {
        if (runs.remove(ticket) != null) {
            completedItems++;
            items.add(newItem());
            demand();
            Optional<Duration> startTime =
                    startTimes ? Optional.of(RESTART_TIME) : Optional.empty();
            RunReport report = new RunReport(LeaseOutcome.DONE, 1, startTime, load.itemTime);
            apply(pool.release("b", ticket, report, now));
        }
    }

    private void cut(long ticket) {
        ItemRun run = runs.remove(ticket);
        cutRuns++;
        long done = Math.max(0, now - run.started - RESTART_TIME.toNanos());
        items.addFirst(new Item(run.item.left - done));
    }
}
