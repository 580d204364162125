package org.fuchsiaspindle.daemon.entry.batch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.fuchsiaspindle.wire.proto.BatchItem;
import org.fuchsiaspindle.wire.proto.BatchResult;
import org.fuchsiaspindle.wire.proto.BatchReturn;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.LoadReport;
import org.fuchsiaspindle.wire.proto.ReturnedItem;
import org.fuchsiaspindle.wire.proto.Usage;

/** A simulated agent with its target. Records every execution in the execution log. */
final class SimAgent {

    /** Content of an item that crashes its target. */
    static final String POISON = "poison";

    /** Content of an item that its target rejects. */
    static final String REJECTED = "rejected";

    private static final int CAPACITY = 2;
    private static final int REQUESTED_ITEMS = 4;
    private static final Duration RESTART_DURATION = Duration.ofSeconds(2);

    private final BatchSimulation simulation;
    private final String id;
    private final Deque<Work> queue = new ArrayDeque<>();
    private final List<Work> running = new ArrayList<>();
    private long targetUpNanos;
    private long finishedItems;
    private boolean crashed;
    private boolean dropNextResult;

    private record Work(SimEntry from, BatchItem item) {}

    SimAgent(BatchSimulation simulation, String id) {
        this.simulation = simulation;
        this.id = id;
    }

    String id() {
        return id;
    }

    boolean isCrashed() {
        return crashed;
    }

    /** Crashes the agent and its target; its connections to the entries are closed. */
    void crash() {
        crashed = true;
        simulation.entries().forEach(entry -> entry.disconnect(id));
    }

    void dropNextResult() {
        dropNextResult = true;
    }

    void receive(SimEntry from, Frame frame) {
        if (crashed) {
            return;
        }
        for (BatchItem item : frame.getBatchItems().getItemsList()) {
            simulation.executionLog().dispatched(item, simulation.clock().nanoTime());
            queue.add(new Work(from, item));
        }
        if (frame.hasBatchCancel()) {
            queue.removeIf(
                    work ->
                            work.from() == from
                                    && work.item()
                                            .getJobId()
                                            .equals(frame.getBatchCancel().getJobId()));
        }
    }

    void step() {
        if (crashed) {
            return;
        }
        boolean isTargetUp = simulation.clock().nanoTime() >= targetUpNanos;
        if (isTargetUp) {
            finishRunning();
            while (running.size() < CAPACITY && !queue.isEmpty()) {
                running.add(queue.remove());
            }
        }
        for (SimEntry entry : simulation.entries()) {
            entry.receive(this, Frame.newBuilder().setLoadReport(report(isTargetUp)).build());
        }
    }

    private LoadReport report(boolean isTargetUp) {
        return LoadReport.newBuilder()
                .setCapacity(CAPACITY)
                .setBatchRunning(running.size())
                .setBatchWaiting(queue.size())
                .setBatchWant(isTargetUp ? REQUESTED_ITEMS : 0)
                .addModels(BatchFixture.MODEL)
                .build();
    }

    private void finishRunning() {
        if (running.stream().anyMatch(work -> content(work).contains(POISON))) {
            crashTarget();
            return;
        }
        for (Work work : List.copyOf(running)) {
            running.remove(work);
            if (dropNextResult) {
                dropNextResult = false;
            } else if (finishedItems++ % 7 == 3) {
                send(work, returned(work, false, "partial "));
            } else {
                send(work, result(work));
            }
        }
    }

    private void crashTarget() {
        simulation.executionLog().targetLost();
        running.forEach(work -> send(work, returned(work, true, "")));
        queue.forEach(work -> send(work, returned(work, false, "")));
        running.clear();
        queue.clear();
        targetUpNanos = simulation.clock().nanoTime() + RESTART_DURATION.toNanos();
    }

    private void send(Work work, Frame frame) {
        work.from().receive(this, frame);
    }

    private Frame result(Work work) {
        BatchItem item = work.item();
        BatchResult.Builder result =
                BatchResult.newBuilder()
                        .setJobId(item.getJobId())
                        .setSegment(item.getSegment())
                        .setItem(item.getItem())
                        .setEpoch(item.getEpoch())
                        .setAttempt(item.getAttempt());
        if (content(work).contains(REJECTED)) {
            result.setStatus(400).setErrorMessage("bad request");
        } else {
            result.setStatus(200)
                    .setText(simulation.executionLog().execute(item, content(work)))
                    .setFinishReason("stop")
                    .setUsage(Usage.newBuilder().setPromptTokens(3).setCompletionTokens(4));
        }
        return Frame.newBuilder().setBatchResult(result).build();
    }

    private static Frame returned(Work work, boolean targetLost, String text) {
        BatchItem item = work.item();
        return Frame.newBuilder()
                .setBatchReturn(
                        BatchReturn.newBuilder()
                                .addItems(
                                        ReturnedItem.newBuilder()
                                                .setJobId(item.getJobId())
                                                .setSegment(item.getSegment())
                                                .setItem(item.getItem())
                                                .setEpoch(item.getEpoch())
                                                .setAttempt(item.getAttempt())
                                                .setStarted(true)
                                                .setResumeText(item.getResumeText() + text)
                                                .setResumeTokens(
                                                        item.getResumeTokens()
                                                                + (text.isEmpty() ? 0 : 1))
                                                .setTargetLost(targetLost)))
                .build();
    }

    private static String content(Work work) {
        return work.item().getBody().toStringUtf8();
    }
}
