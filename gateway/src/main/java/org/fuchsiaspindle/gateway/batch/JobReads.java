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
import org.fuchsiaspindle.gateway.batch.JobStore.VersionedJob;
import org.fuchsiaspindle.gateway.telemetry.DecisionLog;
import org.fuchsiaspindle.platform.ingress.ClientExchange;
import org.fuchsiaspindle.platform.ingress.Refusal;
import org.fuchsiaspindle.platform.job.BatchItem;
import org.fuchsiaspindle.platform.job.JobApiCodec;
import org.fuchsiaspindle.platform.job.JobApiCodec.JobCall;
import org.fuchsiaspindle.platform.store.CommitResult;

/**
 * Answers the calls on existing jobs from the store, at any gateway.
 *
 * <p>A job counts as missing only if the store says so now. Confined to the event loop of the
 * request path.
 */
public final class JobReads {

    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;
    private static final Duration MAX_WAIT = Duration.ofSeconds(1);
    private static final int MAX_CONFLICTS = 8;
    private static final byte[] EMPTY_OBJECT = new byte[] {'{', '}'};

    /** Bodies kept for repeated calls, in bytes. */
    private static final long CACHE_BYTES = 8L << 20;

    private final EventLoop loop;
    private final JobStore store;
    private final JobTable table;
    private final JobRelay relay;
    private final Map<String, List<Runnable>> waiting = new HashMap<>();
    private final Cache<String, ImmutableList<BatchItem>> submissions =
            CacheBuilder.newBuilder()
                    .maximumWeight(CACHE_BYTES)
                    .weigher(
                            (String id, ImmutableList<BatchItem> items) ->
                                    items.stream().mapToInt(item -> item.body().length).sum())
                    .build();

    private JobReads(EventLoop loop, JobStore store, JobTable table, JobRelay relay) {
        this.loop = loop;
        this.store = store;
        this.table = table;
        this.relay = relay;
    }

    /** Creates the answers to calls on jobs. */
    public static JobReads create(EventLoop loop, JobStore store, JobTable table, JobRelay relay) {
        JobReads reads =
                new JobReads(
                        checkNotNull(loop, "loop"),
                        checkNotNull(store, "store"),
                        checkNotNull(table, "table"),
                        checkNotNull(relay, "relay"));
        table.addListener(reads::jobChanged);
        return reads;
    }

    /** Answers a call. */
    public void handle(ClientExchange exchange, JobCall call) {
        switch (call) {
            case JobCall.Read read -> read(exchange, read);
            case JobCall.Body body -> body(exchange, body);
            case JobCall.End end -> end(exchange, end.jobId(), 0);
        }
    }

    private void read(ClientExchange exchange, JobCall.Read read) {
        withJob(exchange, read.jobId(), job -> answer(exchange, read, job));
    }

    private void answer(ClientExchange exchange, JobCall.Read read, JobRecord job) {
        boolean news = job.listed().size() > read.after();
        Optional<Duration> wait = exchange.request().holdTime();
        if (!news && job.isOpen() && wait.isPresent()) {
            awaitNews(exchange, read, job, wait.get());
            return;
        }
        store.results(job, read.after())
                .whenCompleteAsync(
                        (results, failure) -> {
                            if (failure != null) {
                                relay.relay(exchange);
                            } else {
                                list(exchange, read, job, results);
                            }
                        },
                        loop);
    }

    private static void list(
            ClientExchange exchange,
            JobCall.Read read,
            JobRecord job,
            List<JobApiCodec.Result> results) {
        int after = Math.min(read.after(), job.listed().size());
        exchange.json(STATUS_OK, JobApiCodec.results(job.itemCount(), after, results));
    }

    /** Holds an answer until a result is known or the client's wait is over. */
    private void awaitNews(
            ClientExchange exchange, JobCall.Read read, JobRecord job, Duration wait) {
        Runnable once =
                new Runnable() {
                    private boolean done;

                    @Override
                    public void run() {
                        if (!done && !exchange.isDone()) {
                            done = true;
                            again(exchange, read, job);
                        }
                    }
                };
        waiting.computeIfAbsent(read.jobId(), id -> new ArrayList<>()).add(once);
        long millis = Math.min(wait.toMillis(), MAX_WAIT.toMillis());
        loop.schedule(
                () -> {
                    List<Runnable> others = waiting.get(read.jobId());
                    if (others != null) {
                        others.remove(once);
                        waiting.computeIfPresent(
                                read.jobId(), (id, list) -> list.isEmpty() ? null : list);
                    }
                    once.run();
                },
                millis,
                TimeUnit.MILLISECONDS);
    }

    private void again(ClientExchange exchange, JobCall.Read read, JobRecord old) {
        JobRecord newest = table.job(read.jobId()).map(VersionedJob::job).orElse(old);
        if (newest.listed().size() <= read.after()) {
            list(exchange, read, newest, List.of());
            return;
        }
        answer(exchange, read, newest);
    }

    private void jobChanged(VersionedJob job) {
        List<Runnable> waiters = waiting.remove(job.job().id());
        if (waiters != null) {
            waiters.forEach(Runnable::run);
        }
    }

    private void body(ClientExchange exchange, JobCall.Body call) {
        ImmutableList<BatchItem> cached = submissions.getIfPresent(call.jobId());
        if (cached != null) {
            sendBody(exchange, call, cached);
            return;
        }
        withJob(exchange, call.jobId(), job -> loadBody(exchange, call));
    }

    private void loadBody(ClientExchange exchange, JobCall.Body call) {
        store.submission(call.jobId())
                .whenCompleteAsync(
                        (found, failure) -> {
                            if (failure != null || found.isEmpty()) {
                                relay.relay(exchange);
                                return;
                            }
                            ImmutableList<BatchItem> items = JobApiCodec.items(found.get());
                            submissions.put(call.jobId(), items);
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
                        item -> exchange.bytes(STATUS_OK, item.body()), () -> missing(exchange));
    }

    private void end(ClientExchange exchange, String jobId, int conflicts) {
        store.read(jobId)
                .whenCompleteAsync(
                        (found, failure) -> {
                            if (failure != null || conflicts > MAX_CONFLICTS) {
                                relay.relay(exchange);
                            } else if (found.isEmpty()) {
                                missing(exchange);
                            } else {
                                end(exchange, found.get(), conflicts);
                            }
                        },
                        loop);
    }

    private void end(ClientExchange exchange, VersionedJob job, int conflicts) {
        table.offer(job);
        if (!job.job().isOpen()) {
            exchange.json(STATUS_OK, EMPTY_OBJECT);
            return;
        }
        JobRecord ended = job.job().end();
        store.update(ended, job.version(), List.of())
                .whenCompleteAsync(
                        (result, failure) -> {
                            if (result instanceof CommitResult.Committed done) {
                                table.offer(new VersionedJob(ended, done.version()));
                                DecisionLog.batch(ended.id(), "-", "ended", "client");
                                exchange.json(STATUS_OK, EMPTY_OBJECT);
                            } else {
                                end(exchange, ended.id(), conflicts + 1);
                            }
                        },
                        loop);
    }

    private void withJob(ClientExchange exchange, String jobId, Consumer<JobRecord> action) {
        store.read(jobId)
                .whenCompleteAsync(
                        (found, failure) -> {
                            if (failure != null) {
                                relay.relay(exchange);
                            } else if (found.isEmpty()) {
                                missing(exchange);
                            } else {
                                table.offer(found.get());
                                action.accept(found.get().job());
                            }
                        },
                        loop);
    }

    private static void missing(ClientExchange exchange) {
        exchange.refuse(Refusal.of(STATUS_NOT_FOUND, ResultCode.NOT_FOUND));
    }
}
