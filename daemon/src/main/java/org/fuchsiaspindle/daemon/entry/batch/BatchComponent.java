package org.fuchsiaspindle.daemon.entry.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.fuchsiaspindle.core.batch.BatchLimits;
import org.fuchsiaspindle.core.batch.JobRecord;
import org.fuchsiaspindle.daemon.admin.JobOperations;
import org.fuchsiaspindle.daemon.fleet.FrameDispatcher;
import org.fuchsiaspindle.daemon.http.HttpEndpoint;
import org.fuchsiaspindle.platform.table.TableService;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.JobHint;
import org.fuchsiaspindle.wire.proto.Role;
import org.fuchsiaspindle.wire.transport.FleetConnection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs batch jobs at an entry: accepts jobs and executes its share of their items. Thread-safe. */
public final class BatchComponent {

    private static final Logger LOG = LoggerFactory.getLogger(BatchComponent.class);

    /** Messages wake the tick thread; other work that has become due waits at most this long. */
    private static final long MAX_TICK_INTERVAL_MS = 50;

    /** Pause after each tick, so that a burst of results is handled in one tick. */
    private static final long MIN_TICK_INTERVAL_MS = 2;

    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);
    private static final long STOP_POLL_MS = 20;

    private final BatchContext context;
    private final ObservedTable table;
    private final JobDirectory directory;
    private final BatchWorker worker;
    private final RetentionCleaner cleaner;
    private final FileStore files;
    private final JobStore jobs;
    private final ResultReader results;
    private final BatchApi api;
    private final Semaphore wake = new Semaphore(0);
    private final ExecutorService calls;
    private volatile boolean running;
    private volatile Thread tickThread;

    private BatchComponent(
            BatchContext context,
            Function<TableService, JobDirectory> newDirectory,
            ExecutorService calls,
            Executor executor,
            long maxUnsavedBytes) {
        this.context = checkNotNull(context, "context");
        this.calls = calls;
        this.table = new ObservedTable(context.table(), context.clock());
        this.directory = newDirectory.apply(table);
        this.files = new FileStore(table, context.objects(), context.clock(), context.random());
        this.jobs =
                new JobStore(
                        table,
                        files,
                        context.clock(),
                        context.random(),
                        this::infeasibilityReason,
                        this::estimatedTargets);
        this.worker =
                new BatchWorker(
                        context,
                        table,
                        jobs,
                        directory,
                        new BatchMetrics(context.metrics()),
                        executor,
                        maxUnsavedBytes);
        this.cleaner = new RetentionCleaner(context, table, files, jobs, executor);
        this.results = new ResultReader(table, context.objects());
        this.api =
                new BatchApi(
                        context.authentication(),
                        files,
                        jobs,
                        results,
                        this::notifyAccepted,
                        this::notifyCancelled,
                        context.clock());
        register(context.frames());
    }

    /**
     * Creates the component with a directory that reads the open jobs from the table, and starts
     * its threads.
     *
     * @param context dependencies provided by the entry, not null
     */
    public static BatchComponent start(BatchContext context) {
        return start(context, table -> TableJobDirectory.create(table, context.clock()));
    }

    /**
     * Creates the component and starts its threads.
     *
     * @param context dependencies provided by the entry, not null
     * @param directory creates the directory of open jobs from the table service of the component
     */
    public static BatchComponent start(
            BatchContext context, Function<TableService, JobDirectory> directory) {
        ExecutorService calls = Executors.newVirtualThreadPerTaskExecutor();
        BatchComponent component =
                new BatchComponent(context, directory, calls, calls, BatchLimits.MAX_UNSAVED_BYTES);
        component.running = true;
        component.tickThread = Thread.ofVirtual().name("batch-steps").start(component::runTicks);
        return component;
    }

    /**
     * Creates the component without threads; it advances only by {@link #tick}.
     *
     * @param executor runs the calls to the table and the object store, for example in the calling
     *     thread
     * @param maxUnsavedBytes bytes of results not yet in the object store at which dispatch pauses
     */
    static BatchComponent create(BatchContext context, Executor executor, long maxUnsavedBytes) {
        return new BatchComponent(
                context,
                table -> TableJobDirectory.create(table, context.clock()),
                Executors.newVirtualThreadPerTaskExecutor(),
                executor,
                maxUnsavedBytes);
    }

    /** Returns the endpoints by path prefix. */
    public ImmutableMap<String, HttpEndpoint> endpoints() {
        return ImmutableMap.of("/v1/files", api, "/v1/batches", api);
    }

    /** Returns the operations on jobs that are available to operators. */
    public JobOperations operations() {
        return new OperatorJobs(
                directory,
                jobs,
                results,
                id -> worker.jobsAtRisk().contains(id),
                this::notifyCancelled);
    }

    /** Returns this entry's directory of open jobs. */
    public JobDirectory directory() {
        return directory;
    }

    /** Returns true if the table responded to the last call. */
    public boolean isTableReachable() {
        return table.last().responded();
    }

    /** Runs the work that is due. */
    void tick() {
        worker.tick();
        cleaner.tick();
    }

    FileStore files() {
        return files;
    }

    JobStore jobs() {
        return jobs;
    }

    ResultReader results() {
        return results;
    }

    /** Stops claims and dispatch; results of items at agents are still accepted and stored. */
    public void drain() {
        worker.drain();
    }

    /** Waits at most 5 s for items at agents, then ends the threads and releases the leases. */
    public void stop() {
        worker.drain();
        long end = context.clock().nanoTime() + STOP_TIMEOUT.toNanos();
        while (running && worker.hasWork() && context.clock().nanoTime() - end < 0) {
            sleep(STOP_POLL_MS);
        }
        running = false;
        wake.release();
        awaitTickThread();
        worker.close();
        calls.shutdown();
    }

    private void awaitTickThread() {
        try {
            if (tickThread != null) {
                tickThread.join(STOP_TIMEOUT);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void register(FrameDispatcher frames) {
        frames.register(
                Frame.BodyCase.BATCH_RESULT,
                (connection, frame) -> {
                    worker.onResult(connection, frame.getBatchResult());
                    wake.release();
                });
        frames.register(
                Frame.BodyCase.BATCH_RETURN,
                (connection, frame) -> {
                    worker.onReturn(connection, frame.getBatchReturn());
                    wake.release();
                });
        frames.register(
                Frame.BodyCase.JOB_HINT,
                (connection, frame) -> {
                    if (frame.getJobHint().getCancelled()) {
                        worker.onCancelled(frame.getJobHint().getJobId());
                        wake.release();
                    }
                });
        frames.onClosed(
                connection -> {
                    if (connection.peer().role() == Role.ROLE_AGENT) {
                        worker.onAgentLost(connection);
                        wake.release();
                    }
                });
        context.loads()
                .onReport(
                        (connection, report) -> {
                            if (report.getBatchWant() > 0) {
                                worker.dispatchTo(connection);
                            }
                        });
    }

    void notifyAccepted(JobRecord job) {
        worker.onAccepted();
        wake.release();
        sendHint(job, false);
    }

    void notifyCancelled(JobRecord job) {
        worker.onCancelled(job.id());
        wake.release();
        sendHint(job, true);
    }

    private void sendHint(JobRecord job, boolean cancelled) {
        Frame frame =
                Frame.newBuilder()
                        .setJobHint(
                                JobHint.newBuilder()
                                        .setJobId(job.id())
                                        .setCancelled(cancelled)
                                        .setJobDirectoryVersion(directory.current().version()))
                        .build();
        for (FleetConnection entry : context.fleet().entries()) {
            entry.send(frame);
        }
    }

    private Optional<String> infeasibilityReason(String model, int items, Duration window) {
        return worker.infeasibilityReason(model, items, window);
    }

    private int estimatedTargets(String model) {
        return worker.estimatedTargets(model);
    }

    private void runTicks() {
        while (running) {
            try {
                tick();
            } catch (RuntimeException e) {
                LOG.error("batch: tick failed", e);
            }
            awaitWake();
        }
    }

    private void awaitWake() {
        sleep(MIN_TICK_INTERVAL_MS);
        try {
            if (wake.tryAcquire(MAX_TICK_INTERVAL_MS, TimeUnit.MILLISECONDS)) {
                wake.drainPermits();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
