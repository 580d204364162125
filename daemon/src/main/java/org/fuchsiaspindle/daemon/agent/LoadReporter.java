package org.fuchsiaspindle.daemon.agent;

import java.time.Duration;
import java.util.List;
import org.fuchsiaspindle.core.admission.AdmissionLoad;
import org.fuchsiaspindle.core.admission.BatchDemand;
import org.fuchsiaspindle.core.config.ConfigSource;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.LoadReport;

/** Sends load reports to the connected entries. All methods run on the agent's event loop. */
final class LoadReporter {

    private static final Duration MIN_INTERVAL = Duration.ofMillis(100);
    private static final Duration MAX_INTERVAL = Duration.ofSeconds(1);

    private final AdmissionController admission;
    private final TargetMonitor monitor;
    private final ConfigSource config;
    private final AgentLoop loop;
    private final Clock clock;
    private final AgentMetrics metrics;
    private final boolean service;
    private final BatchDemand batchDemand = BatchDemand.create();
    private LoadReport lastContent = LoadReport.getDefaultInstance();
    private long lastSentNanos;
    private long sequence;
    private boolean scheduled;
    private long fencingNumber;

    LoadReporter(
            AdmissionController admission,
            TargetMonitor monitor,
            ConfigSource config,
            AgentLoop loop,
            Clock clock,
            AgentMetrics metrics,
            boolean service) {
        this.admission = admission;
        this.monitor = monitor;
        this.config = config;
        this.loop = loop;
        this.clock = clock;
        this.metrics = metrics;
        this.service = service;
    }

    /** Starts the periodic reports. */
    void start() {
        lastSentNanos = clock.nanoTime() - MAX_INTERVAL.toNanos();
        admission.onChange(this::scheduleReport);
        monitor.onModelsChanged(this::scheduleReport);
        loop.every(MAX_INTERVAL.dividedBy(2), this::sendIfDue);
    }

    /** Sets the highest fencing number received so far. */
    void setFencingNumber(long value) {
        fencingNumber = value;
        scheduleReport();
    }

    /** Schedules a report, which is sent only if its content has changed since the last one. */
    void scheduleReport() {
        if (scheduled) {
            return;
        }
        long delayNanos = lastSentNanos + MIN_INTERVAL.toNanos() - clock.nanoTime();
        scheduled = true;
        loop.after(
                Math.max(0, delayNanos),
                () -> {
                    scheduled = false;
                    send(false);
                });
    }

    private void sendIfDue() {
        if (clock.nanoTime() - lastSentNanos >= MAX_INTERVAL.dividedBy(2).toNanos()) {
            send(true);
        }
    }

    private void send(boolean force) {
        AdmissionLoad load = admission.load();
        metrics.publish(load);
        List<EntryPeer> peers = List.copyOf(admission.peers());
        boolean batchDemandChanged = divideBatchDemand(load, peers);
        LoadReport content = content(load);
        boolean allReported = peers.stream().allMatch(EntryPeer::isReported);
        if (!force && allReported && !batchDemandChanged && content.equals(lastContent)) {
            return;
        }
        lastContent = content;
        lastSentNanos = clock.nanoTime();
        sequence++;
        for (EntryPeer peer : peers) {
            peer.send(
                    Frame.newBuilder()
                            .setLoadReport(
                                    content.toBuilder()
                                            .setSequence(sequence)
                                            .setPrefixesReset(peer.recordReport())
                                            .setBatchWant(peer.batchDemand())));
        }
    }

    private boolean divideBatchDemand(AdmissionLoad load, List<EntryPeer> peers) {
        boolean acceptsBatch = admission.isTargetUp() && !admission.isLeaving() && !service;
        int total = acceptsBatch ? batchDemand.total(load, clock.nanoTime()) : 0;
        int[] outstanding = peers.stream().mapToInt(peer -> peer.items().size()).toArray();
        int[] shares = BatchDemand.divide(total, outstanding);
        boolean changed = false;
        for (int i = 0; i < shares.length; i++) {
            changed |= peers.get(i).batchDemand() != shares[i];
            peers.get(i).setBatchDemand(shares[i]);
        }
        return changed;
    }

    private LoadReport content(AdmissionLoad load) {
        LoadReport.Builder report =
                LoadReport.newBuilder()
                        .setOnlineRunning(load.onlineRunning())
                        .setOnlineWaiting(load.onlineWaiting())
                        .setBatchRunning(load.batchRunning())
                        .setBatchWaiting(load.batchWaiting())
                        .setCapacity(admission.isTargetUp() ? load.limit() : 0)
                        .addAllModels(monitor.models().keySet())
                        .addAllModelVersions(monitor.models().values())
                        .setLeaving(admission.isLeaving())
                        .setConfigVersion(config.current().version())
                        .setExpectedWaitUs(load.expectedWaitNanos() / 1000)
                        .setService(service)
                        .setFencingNumber(fencingNumber);
        return report.build();
    }
}
