package org.fuchsiaspindle.daemon.entry.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fuchsiaspindle.core.batch.ItemRecords;
import org.fuchsiaspindle.core.batch.SegmentWork;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.wire.proto.BatchResult;
import org.fuchsiaspindle.wire.proto.BatchReturn;
import org.fuchsiaspindle.wire.proto.ReturnedItem;
import org.fuchsiaspindle.wire.proto.Usage;
import org.fuchsiaspindle.wire.transport.FleetConnection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies item results, returned items and the loss of agents to the held segments. Guarded by the
 * worker's lock.
 */
final class AgentEvents {

    private static final Logger LOG = LoggerFactory.getLogger(AgentEvents.class);
    private static final int OK = 200;
    private static final int CLIENT_ERROR = 400;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVER_ERROR = 500;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final Map<SegmentKey, HeldSegment> held;
    private final OutstandingItems outstandingItems;
    private final BatchMetrics metrics;

    AgentEvents(
            Map<SegmentKey, HeldSegment> held,
            OutstandingItems outstandingItems,
            BatchMetrics metrics) {
        this.held = held;
        this.outstandingItems = outstandingItems;
        this.metrics = metrics;
    }

    /**
     * Applies the result of an item.
     *
     * @return the dispatch that it belongs to, empty if the item was not outstanding at this agent
     */
    Optional<OutstandingItems.Sent> result(
            FleetConnection connection, BatchResult result, long nowNanos, long nowMs) {
        SegmentKey key = new SegmentKey(result.getJobId(), result.getSegment());
        OutstandingItems.Attempt attempt =
                new OutstandingItems.Attempt(
                        key, result.getEpoch(), result.getItem(), result.getAttempt());
        Optional<OutstandingItems.Sent> sent = outstandingItems.remove(connection, attempt);
        Optional<SegmentWork> work = work(attempt);
        if (work.isEmpty()) {
            LOG.debug("batch: result ignored job={} segment={}", key.job(), key.number());
            return sent;
        }
        int index = attempt.index() - work.get().segment().firstItem();
        int status = result.getStatus();
        if (status == OK) {
            Usage usage = result.getUsage();
            ItemRecords.Response response =
                    new ItemRecords.Response(
                            result.getText(),
                            result.getFinishReason(),
                            usage.getPromptTokens(),
                            usage.getCompletionTokens(),
                            usage.getCachedTokens());
            if (work.get().complete(index, response, nowMs)) {
                metrics.itemFinished("ok");
            }
        } else if (isRejection(status)) {
            if (work.get()
                    .fail(index, ResultCode.ITEM_REJECTED, result.getErrorMessage(), status)) {
                metrics.itemFinished("rejected");
            }
        } else if (sent.isPresent()) {
            boolean countsAsFailure = status != TOO_MANY_REQUESTS && status != SERVICE_UNAVAILABLE;
            work.get()
                    .targetFailed(
                            index,
                            connection.peer().instanceId(),
                            status,
                            result.getErrorMessage(),
                            countsAsFailure,
                            nowNanos);
        }
        return sent;
    }

    /** Applies a message that returns items without results. */
    void returned(FleetConnection connection, BatchReturn items) {
        Map<SegmentWork, List<Integer>> lost = new HashMap<>();
        for (ReturnedItem item : items.getItemsList()) {
            OutstandingItems.Attempt attempt =
                    new OutstandingItems.Attempt(
                            new SegmentKey(item.getJobId(), item.getSegment()),
                            item.getEpoch(),
                            item.getItem(),
                            item.getAttempt());
            if (outstandingItems.remove(connection, attempt).isEmpty()) {
                continue;
            }
            Optional<SegmentWork> work = work(attempt);
            if (work.isPresent()) {
                int index = attempt.index() - work.get().segment().firstItem();
                if (item.getTargetLost()) {
                    lost.computeIfAbsent(work.get(), w -> new ArrayList<>()).add(index);
                } else {
                    work.get().requeue(index, item.getResumeText(), item.getResumeTokens());
                }
            }
        }
        String target = connection.peer().instanceId();
        lost.forEach(
                (work, indexes) -> {
                    LOG.info(
                            "batch: target lost while running items job={} segment={} items={}"
                                    + " agent={}",
                            work.job(),
                            work.segment().number(),
                            indexes.size(),
                            target);
                    work.targetLost(indexes, target);
                });
    }

    /** Returns all items of an agent to their segments after its connection was closed. */
    void agentLost(FleetConnection connection) {
        Map<SegmentWork, List<Integer>> lost = new HashMap<>();
        for (OutstandingItems.Sent sent : outstandingItems.removeAll(connection)) {
            work(sent.attempt())
                    .ifPresent(
                            work ->
                                    lost.computeIfAbsent(work, w -> new ArrayList<>())
                                            .add(
                                                    sent.attempt().index()
                                                            - work.segment().firstItem()));
        }
        lost.forEach((work, indexes) -> work.agentLost(indexes, connection.peer().instanceId()));
    }

    /** Returns all items of an agent to their segments because the agent has lost them. */
    void itemsLost(FleetConnection connection) {
        List<OutstandingItems.Sent> lostItems = outstandingItems.removeAll(connection);
        LOG.warn(
                "batch: agent lost items agent={} items={}",
                connection.peer().instanceId(),
                lostItems.size());
        for (OutstandingItems.Sent sent : lostItems) {
            work(sent.attempt())
                    .ifPresent(
                            work ->
                                    work.requeue(
                                            sent.attempt().index() - work.segment().firstItem(),
                                            "",
                                            0));
        }
    }

    private Optional<SegmentWork> work(OutstandingItems.Attempt attempt) {
        HeldSegment segment = held.get(attempt.segment());
        if (segment == null || segment.work() == null || segment.epoch() != attempt.epoch()) {
            return Optional.empty();
        }
        int index = attempt.index() - segment.work().segment().firstItem();
        return index >= 0 && index < segment.work().segment().items()
                ? Optional.of(segment.work())
                : Optional.empty();
    }

    private static boolean isRejection(int status) {
        return status >= CLIENT_ERROR
                && status < SERVER_ERROR
                && status != REQUEST_TIMEOUT
                && status != TOO_MANY_REQUESTS;
    }
}
