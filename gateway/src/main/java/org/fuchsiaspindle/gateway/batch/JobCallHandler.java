package org.fuchsiaspindle.gateway.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.job.JobRecord;
import org.fuchsiaspindle.core.workspace.CallerAccess;
import org.fuchsiaspindle.gateway.batch.JobStore.VersionedJob;
import org.fuchsiaspindle.gateway.telemetry.DecisionLog;
import org.fuchsiaspindle.platform.ingress.ClientExchange;
import org.fuchsiaspindle.platform.ingress.Refusal;
import org.fuchsiaspindle.platform.job.BatchItem;
import org.fuchsiaspindle.platform.job.JobApiCodec;
import org.fuchsiaspindle.platform.job.JobApiCodec.JobCall;
import org.fuchsiaspindle.platform.store.CommitResult;
import org.fuchsiaspindle.platform.store.StoreClient;

/**
 * Handles requests to read or end existing jobs, which any gateway serves regardless of which one
 * owns the job.
 *
 * <p>A job is reported as missing only after a read of the store, never from the local table.
 * Confined to the event loop of the request path.
 */
public final class JobCallHandler {

    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;
    private static final Duration MAX_LONG_POLL_TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_CONFLICT_RETRIES = 8;
    private static final byte[] EMPTY_OBJECT = new byte[] {'{', '}'};

    /** Maximum total size of the cached item bodies. */
    private static final long MAX_CACHE_BYTES = 8L << 20;

    private final EventLoop loop;
    private final JobStore jobStore;
    private final JobTable jobTable;
    private final JobRelay relay;
    private final Map<String, List<Runnable>> waitersByJob = new HashMap<>();
    private final Cache<String, JobItems> itemsByJob =
            CacheBuilder.newBuilder()
                    .maximumWeight(MAX_CACHE_BYTES)
                    .weigher(
                            (String id, JobItems job) ->
                                    job.items().stream().mapToInt(item -> item.body().length).sum())
                    .build();

    /** The submitted items of a job, with the workspace whose callers may read them. */
    private record JobItems(String workspace, ImmutableList<BatchItem> items) {}

    private JobCallHandler(EventLoop loop, JobStore jobStore, JobTable jobTable, JobRelay relay) {
        this.loop = loop;
        this.jobStore = jobStore;
        this.jobTable = jobTable;
        this.relay = relay;
    }

    /** Creates a handler that follows the changes of a table of jobs. */
    public static JobCallHandler create(
            EventLoop loop, JobStore jobStore, JobTable jobTable, JobRelay relay) {
        JobCallHandler handler =
                new JobCallHandler(
                        checkNotNull(loop, "loop"),
                        checkNotNull(jobStore, "jobStore"),
                        checkNotNull(jobTable, "jobTable"),
                        checkNotNull(relay, "relay"));
        jobTable.addListener(handler::jobChanged);
        return handler;
    }

    /** Returns whether a job that was submitted for a host is known to this gateway. */
    public boolean isKnownJob(String jobId, String host) {
        return jobTable.job(jobId).filter(job -> job.job().host().equals(host)).isPresent();
    }

    /**
     * Handles a request on an existing job. The job of another workspace is answered like one that
     * does not exist.
     */
    public void handle(ClientExchange exchange, JobCall call, CallerAccess access) {
        switch (call) {
            case JobCall.Read read -> read(exchange, read, access);
            case JobCall.Body body -> body(exchange, body, access);
            case JobCall.End end -> end(exchange, end.jobId(), access, 0);
        }
    }

    private void read(ClientExchange exchange, JobCall.Read read, CallerAccess access) {
        withJob(exchange, read.jobId(), access, job -> respond(exchange, read, job));
    }

    private void respond(ClientExchange exchange, JobCall.Read read, JobRecord job) {
        boolean hasNewResults = job.listed().size() > read.after();
        Optional<Duration> timeout = exchange.request().longPollTimeout();
        if (!hasNewResults && job.isOpen() && timeout.isPresent()) {
            awaitResults(exchange, read, job, timeout.get());
            return;
        }
        jobStore.results(job, read.after())
                .whenCompleteAsync(
                        (results, failure) -> {
                            if (failure != null) {
                                relay.relay(exchange);
                            } else {
                                sendResults(exchange, read, job, results);
                            }
                        },
                        loop);
    }

    private static void sendResults(
            ClientExchange exchange,
            JobCall.Read read,
            JobRecord job,
            List<JobApiCodec.Result> results) {
        int after = Math.min(read.after(), job.listed().size());
        exchange.sendJson(STATUS_OK, JobApiCodec.encodeResults(job.itemCount(), after, results));
    }

    /** Delays the response until a new result is known or the client's timeout has passed. */
    private void awaitResults(
            ClientExchange exchange, JobCall.Read read, JobRecord job, Duration timeout) {
        Runnable waiter =
                new Runnable() {
                    private boolean done;

                    @Override
                    public void run() {
                        if (!done && !exchange.isDone()) {
                            done = true;
                            respondAfterWait(exchange, read, job);
                        }
                    }
                };
        waitersByJob.computeIfAbsent(read.jobId(), id -> new ArrayList<>()).add(waiter);
        long timeoutMillis = Math.min(timeout.toMillis(), MAX_LONG_POLL_TIMEOUT.toMillis());
        loop.schedule(
                () -> {
                    List<Runnable> waiters = waitersByJob.get(read.jobId());
                    if (waiters != null) {
                        waiters.remove(waiter);
                        waitersByJob.computeIfPresent(
                                read.jobId(),
                                (id, remaining) -> remaining.isEmpty() ? null : remaining);
                    }
                    waiter.run();
                },
                timeoutMillis,
                TimeUnit.MILLISECONDS);
    }

    private void respondAfterWait(ClientExchange exchange, JobCall.Read read, JobRecord old) {
        JobRecord newest = jobTable.job(read.jobId()).map(VersionedJob::job).orElse(old);
        if (newest.listed().size() <= read.after()) {
            sendResults(exchange, read, newest, List.of());
            return;
        }
        respond(exchange, read, newest);
    }

    private void jobChanged(VersionedJob job) {
        List<Runnable> waiters = waitersByJob.remove(job.job().id());
        if (waiters != null) {
            waiters.forEach(Runnable::run);
        }
    }

    private void body(ClientExchange exchange, JobCall.Body call, CallerAccess access) {
        JobItems cached = itemsByJob.getIfPresent(call.jobId());
        if (cached == null) {
            withJob(exchange, call.jobId(), access, job -> loadItems(exchange, call, job));
        } else if (access.mayUseJob(cached.workspace())) {
            sendBody(exchange, call, cached.items());
        } else {
            refuseNotFound(exchange);
        }
    }

    private void loadItems(ClientExchange exchange, JobCall.Body call, JobRecord job) {
        jobStore.submission(call.jobId(), StoreClient.OBJECT_SILENCE_LIMIT)
                .whenCompleteAsync(
                        (found, failure) -> {
                            if (failure != null || found.isEmpty()) {
                                relay.relay(exchange);
                                return;
                            }
                            ImmutableList<BatchItem> items = JobApiCodec.decodeItems(found.get());
                            itemsByJob.put(call.jobId(), new JobItems(job.workspace(), items));
                            sendBody(exchange, call, items);
                        },
                        loop);
    }

    private static void sendBody(
            ClientExchange exchange, JobCall.Body call, ImmutableList<BatchItem> items) {
        items.stream()
                .filter(item -> item.id().equals(call.itemId()))
                .findFirst()
                .ifPresentOrElse(
                        item -> exchange.sendBytes(STATUS_OK, item.body()),
                        () -> refuseNotFound(exchange));
    }

    private void end(ClientExchange exchange, String jobId, CallerAccess access, int conflicts) {
        jobStore.read(jobId)
                .whenCompleteAsync(
                        (found, failure) -> {
                            if (failure != null || conflicts > MAX_CONFLICT_RETRIES) {
                                relay.relay(exchange);
                            } else if (!isVisible(found, access)) {
                                refuseNotFound(exchange);
                            } else {
                                end(exchange, found.get(), access, conflicts);
                            }
                        },
                        loop);
    }

    private void end(
            ClientExchange exchange, VersionedJob job, CallerAccess access, int conflicts) {
        jobTable.offer(job);
        if (!job.job().isOpen()) {
            exchange.sendJson(STATUS_OK, EMPTY_OBJECT);
            return;
        }
        JobRecord ended = job.job().end();
        jobStore.update(ended, job.version(), List.of())
                .whenCompleteAsync(
                        (result, failure) -> {
                            if (result instanceof CommitResult.Committed committed) {
                                jobTable.offer(new VersionedJob(ended, committed.version()));
                                DecisionLog.batch(ended.id(), "-", "ended", "client");
                                exchange.sendJson(STATUS_OK, EMPTY_OBJECT);
                            } else {
                                end(exchange, ended.id(), access, conflicts + 1);
                            }
                        },
                        loop);
    }

    private static boolean isVisible(Optional<VersionedJob> found, CallerAccess access) {
        return found.filter(job -> access.mayUseJob(job.job().workspace())).isPresent();
    }

    private void withJob(
            ClientExchange exchange,
            String jobId,
            CallerAccess access,
            Consumer<JobRecord> action) {
        jobStore.read(jobId)
                .whenCompleteAsync(
                        (found, failure) -> {
                            if (failure != null) {
                                relay.relay(exchange);
                            } else if (!isVisible(found, access)) {
                                refuseNotFound(exchange);
                            } else {
                                jobTable.offer(found.get());
                                action.accept(found.get().job());
                            }
                        },
                        loop);
    }

    private static void refuseNotFound(ClientExchange exchange) {
        exchange.refuse(Refusal.of(STATUS_NOT_FOUND, ResultCode.NOT_FOUND));
    }
}
