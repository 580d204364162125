package org.fuchsiaspindle.daemon.entry.batch;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fuchsiaspindle.core.batch.CustomerVirtualTimes;
import org.fuchsiaspindle.core.batch.InputItem;
import org.fuchsiaspindle.core.batch.SegmentWork;
import org.fuchsiaspindle.core.config.ConfigSource;
import org.fuchsiaspindle.core.contract.Contract;
import org.fuchsiaspindle.daemon.fleet.FleetDirectory;
import org.fuchsiaspindle.daemon.fleet.LoadReports;
import org.fuchsiaspindle.daemon.fleet.LoadReports.Received;
import org.fuchsiaspindle.platform.instance.ListedInstance;
import org.fuchsiaspindle.wire.proto.BatchItem;
import org.fuchsiaspindle.wire.proto.BatchItems;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.RequestKind;
import org.fuchsiaspindle.wire.transport.FleetConnection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends items to agents, up to the number that each agent requested. Guarded by the worker's lock;
 * never blocks.
 *
 * <p>Jobs at risk come first, in the order of their slack; the others are chosen by weighted fair
 * sharing, lowest virtual time of the customer first. Items that were running when a target was
 * lost are suspects, because any of them may have caused the loss. While an agent runs suspects of
 * this entry, this entry sends it nothing else, so that another loss affects no other items.
 */
final class ItemDispatcher {

    private static final Logger LOG = LoggerFactory.getLogger(ItemDispatcher.class);

    /**
     * Agents report at least every second, so an older report does not show the current capacity.
     */
    private static final long MAX_REPORT_AGE_NANOS = 3_000_000_000L;

    private static final int MAX_FRAME_ITEMS = 64;
    private static final int MAX_FRAME_BYTES = 2 * 1024 * 1024;

    private final LoadReports loads;
    private final FleetDirectory fleet;
    private final ConfigSource config;
    private final OutstandingItems outstandingItems;
    private final CustomerVirtualTimes virtualTimes;
    private final BatchMetrics metrics;

    ItemDispatcher(
            BatchContext context,
            OutstandingItems outstandingItems,
            CustomerVirtualTimes virtualTimes,
            BatchMetrics metrics) {
        this.loads = context.loads();
        this.fleet = context.fleet();
        this.config = context.config();
        this.outstandingItems = outstandingItems;
        this.virtualTimes = virtualTimes;
        this.metrics = metrics;
    }

    /** The held segments of one job that have items to send. */
    private record JobQueue(JobState job, List<HeldSegment> segments, int weight) {

        Optional<HeldSegment> ready(long nowNanos) {
            return segments.stream().filter(s -> s.work().hasReady(nowNanos)).findFirst();
        }
    }

    /** Returns the weight of a customer, 1 if its contract was deleted. */
    int weight(String customer) {
        Contract contract = config.current().contracts().get(customer);
        return contract == null ? 1 : contract.weight();
    }

    /** Returns the number of connected agents that serve a model. */
    int connectedTargets(String model) {
        return (int)
                loads.all().stream()
                        .filter(r -> !r.report().getLeaving())
                        .filter(r -> r.report().getModelsList().contains(model))
                        .count();
    }

    /**
     * Returns the number of targets that serve a model, at least 1.
     *
     * <p>An entry is connected to some of the targets only, so the result is extrapolated from the
     * connected agents to the instance list.
     */
    int estimatedTargets(String model) {
        int listed =
                (int)
                        fleet.instances().stream()
                                .filter(i -> i.targetKind() == ListedInstance.TargetKind.ENGINE)
                                .filter(i -> !i.leaving())
                                .count();
        int connected = loads.all().size();
        int serving = connectedTargets(model);
        long estimate = connected == 0 ? listed : Math.round((double) listed * serving / connected);
        return (int) Math.max(1, Math.max(serving, estimate));
    }

    /** Returns the number of streams that the connected agents of a model can run at once. */
    int capacity(String model) {
        return loads.all().stream()
                .filter(r -> r.report().getModelsList().contains(model))
                .mapToInt(r -> r.report().getCapacity())
                .sum();
    }

    /** Returns the number of items that the usable agents request, by model. */
    Map<String, Integer> requestedItems(long nowNanos) {
        Map<String, Integer> requestedItems = new LinkedHashMap<>();
        for (Received received : usableAgents(nowNanos)) {
            for (String model : received.report().getModelsList()) {
                requestedItems.merge(model, received.report().getBatchWant(), Integer::sum);
            }
        }
        return requestedItems;
    }

    /** Returns the agents that have lost the items sent by this entry. */
    List<FleetConnection> agentsWithLostItems(long nowNanos) {
        List<FleetConnection> agents = new ArrayList<>();
        for (Received received : loads.all()) {
            boolean reportsNone =
                    received.report().getBatchRunning() + received.report().getBatchWaiting() == 0
                            && nowNanos - received.receivedNanos() < MAX_REPORT_AGE_NANOS;
            if (outstandingItems.hasLostItems(received.connection(), reportsNone, nowNanos)) {
                agents.add(received.connection());
            }
        }
        return agents;
    }

    /** Sends items to all agents that request some, in descending order of the requested number. */
    void dispatch(
            Collection<HeldSegment> held, Map<String, JobState> jobs, long nowNanos, long nowMs) {
        List<JobQueue> queues = queues(held, jobs, nowNanos);
        if (queues.isEmpty()) {
            return;
        }
        List<Received> agents = new ArrayList<>(usableAgents(nowNanos));
        agents.sort(
                Comparator.comparingInt((Received r) -> -remainingRequest(r))
                        .thenComparing(r -> r.connection().peer().instanceId()));
        for (Received agent : agents) {
            if (remainingRequest(agent) > 0 && agent.connection().isWritable()) {
                sendItems(agent, queues, nowNanos, nowMs);
            }
        }
    }

    /** Sends items to one agent if it requests some. */
    void dispatchTo(
            FleetConnection connection,
            Collection<HeldSegment> held,
            Map<String, JobState> jobs,
            long nowNanos,
            long nowMs) {
        Optional<Received> agent =
                loads.of(connection.peer().instanceId()).filter(r -> isUsable(r, nowNanos));
        if (agent.isPresent() && remainingRequest(agent.get()) > 0 && connection.isWritable()) {
            sendItems(agent.get(), queues(held, jobs, nowNanos), nowNanos, nowMs);
        }
    }

    private List<JobQueue> queues(
            Collection<HeldSegment> held, Map<String, JobState> jobs, long nowNanos) {
        Map<String, JobQueue> queues = new LinkedHashMap<>();
        for (HeldSegment segment : held) {
            JobState job = jobs.get(segment.key().job());
            if (job != null
                    && job.isDispatchable()
                    && segment.work() != null
                    && (segment.work().hasReady(nowNanos)
                            || segment.work().hasSuspects(nowNanos))) {
                queues.computeIfAbsent(
                                segment.key().job(),
                                id ->
                                        new JobQueue(
                                                job,
                                                new ArrayList<>(),
                                                weight(job.active().customer())))
                        .segments()
                        .add(segment);
            }
        }
        return List.copyOf(queues.values());
    }

    private void sendItems(Received agent, List<JobQueue> queues, long nowNanos, long nowMs) {
        FleetConnection connection = agent.connection();
        if (outstandingItems.hasSuspects(connection)) {
            return;
        }
        List<JobQueue> eligible =
                queues.stream()
                        .filter(
                                q ->
                                        agent.report()
                                                .getModelsList()
                                                .contains(q.job().active().model()))
                        .toList();
        BatchItems.Builder frame = BatchItems.newBuilder();
        int remaining = remainingRequest(agent);
        if (addSuspects(frame, agent, eligible, remaining, nowNanos, nowMs)) {
            send(connection, frame);
            return;
        }
        int bytes = 0;
        while (remaining > 0) {
            Optional<JobQueue> nextQueue = nextQueue(eligible, nowNanos, nowMs);
            if (nextQueue.isEmpty()) {
                break;
            }
            HeldSegment segment = nextQueue.get().ready(nowNanos).orElseThrow();
            SegmentWork.Item item = segment.work().takeReady(nowNanos).orElseThrow();
            add(frame, connection, nextQueue.get(), segment, item, false, nowNanos, nowMs);
            bytes += item.input().body().length + item.resumeText().length();
            remaining--;
            if (frame.getItemsCount() >= MAX_FRAME_ITEMS || bytes >= MAX_FRAME_BYTES) {
                send(connection, frame);
                frame = BatchItems.newBuilder();
                bytes = 0;
            }
        }
        send(connection, frame);
    }

    private boolean addSuspects(
            BatchItems.Builder frame,
            Received agent,
            List<JobQueue> eligible,
            int remaining,
            long nowNanos,
            long nowMs) {
        String target = agent.connection().peer().instanceId();
        for (JobQueue queue : eligible) {
            boolean isOnlyTarget = connectedTargets(queue.job().active().model()) <= 1;
            for (HeldSegment segment : queue.segments()) {
                List<SegmentWork.Item> group =
                        segment.work()
                                .takeSuspects(
                                        target,
                                        Math.min(remaining, MAX_FRAME_ITEMS),
                                        isOnlyTarget,
                                        nowNanos);
                if (!group.isEmpty()) {
                    for (SegmentWork.Item item : group) {
                        add(frame, agent.connection(), queue, segment, item, true, nowNanos, nowMs);
                    }
                    LOG.info(
                            "batch: suspects sent job={} segment={} items={} agent={}",
                            segment.key().job(),
                            segment.key().number(),
                            group.size(),
                            target);
                    return true;
                }
            }
        }
        return false;
    }

    private Optional<JobQueue> nextQueue(List<JobQueue> queues, long nowNanos, long nowMs) {
        return queues.stream()
                .filter(q -> q.ready(nowNanos).isPresent())
                .min(
                        Comparator.<JobQueue>comparingInt(q -> q.job().isAtRisk() ? 0 : 1)
                                .thenComparingDouble(q -> sortKey(q, nowNanos, nowMs))
                                .thenComparingLong(q -> q.job().active().deadlineMs())
                                .thenComparing(q -> q.job().active().id()));
    }

    private double sortKey(JobQueue queue, long nowNanos, long nowMs) {
        return queue.job().isAtRisk()
                ? queue.job().slackSeconds(nowMs, nowNanos)
                : virtualTimes.virtualTime(queue.job().active().customer());
    }

    private void add(
            BatchItems.Builder frame,
            FleetConnection connection,
            JobQueue queue,
            HeldSegment segment,
            SegmentWork.Item item,
            boolean suspect,
            long nowNanos,
            long nowMs) {
        int index = segment.work().segment().firstItem() + item.index();
        String customer = queue.job().active().customer();
        frame.addItems(
                BatchItem.newBuilder()
                        .setJobId(segment.key().job())
                        .setSegment(segment.key().number())
                        .setItem(index)
                        .setEpoch(segment.epoch())
                        .setAttempt(item.attempt())
                        .setCustomer(customer)
                        .setWeight(queue.weight())
                        .setKind(
                                item.input().url().equals(InputItem.CHAT)
                                        ? RequestKind.REQUEST_KIND_CHAT
                                        : RequestKind.REQUEST_KIND_TEXT)
                        .setModel(item.input().model())
                        .setBody(ByteString.copyFrom(item.input().body()))
                        .setTimeLeftMs(queue.job().active().deadlineMs() - nowMs)
                        .setResumeText(item.resumeText())
                        .setResumeTokens(item.resumeTokens())
                        .setMaxTokens(item.input().maxTokens())
                        .setSuspect(item.alone()));
        outstandingItems.add(
                connection,
                new OutstandingItems.Sent(
                        new OutstandingItems.Attempt(
                                segment.key(), segment.epoch(), index, item.attempt()),
                        nowNanos,
                        suspect));
        virtualTimes.charge(customer, queue.weight(), 1);
    }

    private void send(FleetConnection connection, BatchItems.Builder items) {
        if (items.getItemsCount() == 0) {
            return;
        }
        // If the connection is closed, its close event returns the items to their segments.
        connection.send(Frame.newBuilder().setBatchItems(items).build());
        metrics.itemsDispatched(items.getItemsCount());
        LOG.info(
                "batch: items sent agent={} items={} first_job={}",
                connection.peer().instanceId(),
                items.getItemsCount(),
                items.getItems(0).getJobId());
    }

    private List<Received> usableAgents(long nowNanos) {
        return loads.all().stream().filter(r -> isUsable(r, nowNanos)).toList();
    }

    private boolean isUsable(Received received, long nowNanos) {
        return nowNanos - received.receivedNanos() < MAX_REPORT_AGE_NANOS
                && received.connection().isOpen()
                && !received.report().getLeaving()
                && !fleet.isLeaving(received.connection().peer().instanceId());
    }

    private int remainingRequest(Received agent) {
        return agent.report().getBatchWant() - outstandingItems.countAt(agent.connection());
    }
}
