package org.fuchsiaspindle.gateway.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.error.Executed;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.job.JobOwner;
import org.fuchsiaspindle.core.job.JobRecord;
import org.fuchsiaspindle.core.serving.Route;
import org.fuchsiaspindle.gateway.batch.JobStore.VersionedJob;
import org.fuchsiaspindle.gateway.telemetry.DecisionLog;
import org.fuchsiaspindle.gateway.watch.StoreHealth;
import org.fuchsiaspindle.platform.ingress.ClientExchange;
import org.fuchsiaspindle.platform.ingress.ClientRequest;
import org.fuchsiaspindle.platform.ingress.Refusal;
import org.fuchsiaspindle.platform.job.BatchItem;
import org.fuchsiaspindle.platform.job.JobApiCodec;
import org.fuchsiaspindle.platform.store.CommitResult;
import org.fuchsiaspindle.platform.store.StoreClock;

/**
 * Accepts batch jobs; a job is acknowledged only after its submission and its row are stored.
 *
 * <p>Confined to the event loop of the request path.
 */
public final class JobSubmissionHandler {

    private static final byte[] EMPTY_OBJECT = new byte[] {'{', '}'};
    private static final int STATUS_ACCEPTED = 202;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_UNAVAILABLE = 503;

    /** Deadline of a request without a deadline header. */
    private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(4);

    /** Fraction of a client's deadline during which storing a job is retried. */
    private static final double RETRY_DEADLINE_FRACTION = 0.6;

    /**
     * The retry time sent to a client is the time left until its deadline divided by this, so that
     * the client can try again before the deadline.
     */
    private static final int RETRY_AFTER_DIVISOR = 3;

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(150);
    private static final Duration QUOTA_RETRY_AFTER = Duration.ofSeconds(1);

    private final EventLoop loop;
    private final JobStore jobStore;
    private final JobTable jobTable;
    private final JobRunner runner;
    private final JobRelay relay;
    private final JobOwner self;
    private final StoreClock storeClock;
    private final StoreHealth storeHealth;
    private final Map<String, PendingJob> pendingJobs = new HashMap<>();

    private JobSubmissionHandler(Dependencies dependencies) {
        this.loop = dependencies.loop();
        this.jobStore = dependencies.jobStore();
        this.jobTable = dependencies.jobTable();
        this.runner = dependencies.runner();
        this.relay = dependencies.relay();
        this.self = dependencies.self();
        this.storeClock = dependencies.storeClock();
        this.storeHealth = dependencies.storeHealth();
    }

    /**
     * The dependencies of a handler.
     *
     * @param loop the event loop
     * @param jobStore the stored jobs
     * @param jobTable the known jobs
     * @param runner runs accepted jobs
     * @param relay forwards requests while this gateway does not reach the store
     * @param self this process as an owner
     * @param storeClock the clock that measures the age of jobs
     * @param storeHealth whether the store is reachable
     */
    public record Dependencies(
            EventLoop loop,
            JobStore jobStore,
            JobTable jobTable,
            JobRunner runner,
            JobRelay relay,
            JobOwner self,
            StoreClock storeClock,
            StoreHealth storeHealth) {}

    /** The tokens of a job that is being stored; they count towards the limit of its route. */
    private record PendingJob(String route, long tokens) {}

    /** Creates a handler of submissions. */
    public static JobSubmissionHandler create(Dependencies dependencies) {
        return new JobSubmissionHandler(checkNotNull(dependencies, "dependencies"));
    }

    /**
     * Acknowledges a request if it repeats the submission of a known job, also if its path belongs
     * to another route by now.
     *
     * @return whether the request was acknowledged
     */
    public boolean acknowledgeRepeat(ClientExchange exchange) {
        ClientRequest request = exchange.request();
        boolean isRepeat =
                request.method().equals(HttpMethod.POST)
                        && jobTable.job(request.id())
                                .map(VersionedJob::job)
                                .filter(job -> job.host().equals(request.host()))
                                .filter(job -> job.path().equals(request.path()))
                                .isPresent();
        if (isRepeat) {
            acknowledge(exchange, request.id(), "known");
        }
        return isRepeat;
    }

    /** Handles a submission on a route for batch jobs. */
    public void handle(ClientExchange exchange, Route route) {
        String id = exchange.request().id();
        if (id.isEmpty()) {
            exchange.refuse(Refusal.of(STATUS_BAD_REQUEST, ResultCode.MALFORMED_REQUEST));
            return;
        }
        if (jobTable.job(id).isPresent()) {
            acknowledge(exchange, id, "known");
            return;
        }
        ImmutableList<BatchItem> items;
        try {
            items = JobApiCodec.decodeItems(exchange.request().body());
        } catch (FuchsiaspindleException failure) {
            DecisionLog.batch(id, "-", "refused", failure.getMessage());
            exchange.refuse(Refusal.of(STATUS_BAD_REQUEST, failure.code()));
            return;
        }
        if (!storeHealth.isReachable() && !exchange.request().relayed()) {
            relayOrRetry(exchange, route, items);
        } else {
            submit(exchange, route, items);
        }
    }

    /**
     * Forwards a submission that was not stored or, if it cannot be forwarded, retries it while its
     * client waits.
     */
    private void relayOrRetry(
            ClientExchange exchange, Route route, ImmutableList<BatchItem> items) {
        if (relay.canRelay(exchange)) {
            relay.relay(exchange);
            return;
        }
        ClientRequest request = exchange.request();
        Duration deadline = request.deadline().orElse(DEFAULT_DEADLINE);
        long elapsed = System.nanoTime() - request.arrivedNanos();
        Duration remaining = deadline.minusNanos(elapsed);
        if (exchange.isDone()) {
            return;
        }
        if (elapsed > deadline.toNanos() * RETRY_DEADLINE_FRACTION) {
            refuse(
                    exchange,
                    request.id(),
                    STATUS_UNAVAILABLE,
                    ResultCode.TABLE_UNAVAILABLE,
                    remaining.dividedBy(RETRY_AFTER_DIVISOR));
            return;
        }
        loop.schedule(
                () -> retry(exchange, route, items),
                RETRY_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /**
     * Stores a job if the store is reachable; a write to an unreachable store would have an unknown
     * outcome.
     */
    private void retry(ClientExchange exchange, Route route, ImmutableList<BatchItem> items) {
        if (exchange.isDone()) {
            return;
        }
        if (storeHealth.isReachable()) {
            submit(exchange, route, items);
        } else {
            relayOrRetry(exchange, route, items);
        }
    }

    private void submit(ClientExchange exchange, Route route, ImmutableList<BatchItem> items) {
        OptionalLong storeNow = storeClock.nowMillis();
        if (storeNow.isEmpty()) {
            // The store's clock measures the age of jobs, so no job is created without its time.
            relayOrRetry(exchange, route, items);
            return;
        }
        String id = exchange.request().id();
        long tokens = items.stream().mapToLong(BatchItem::tokens).sum();
        if (exceedsLimit(route, tokens)) {
            refuse(
                    exchange,
                    id,
                    STATUS_TOO_MANY_REQUESTS,
                    ResultCode.JOB_LIMITED,
                    QUOTA_RETRY_AFTER);
            return;
        }
        create(exchange, route, items, tokens, storeNow.getAsLong());
    }

    private boolean exceedsLimit(Route route, long tokens) {
        long limit = route.batch().orElseThrow().maxWaitingTokens();
        if (limit == 0) {
            return false;
        }
        long total = jobTable.waitingTokens(route.name()) + tokens;
        for (PendingJob pendingJob : pendingJobs.values()) {
            total += pendingJob.route().equals(route.name()) ? pendingJob.tokens() : 0;
        }
        return total > limit;
    }

    private void create(
            ClientExchange exchange,
            Route route,
            ImmutableList<BatchItem> items,
            long tokens,
            long storeNow) {
        String id = exchange.request().id();
        pendingJobs.put(id, new PendingJob(route.name(), tokens));
        JobRecord job = newJob(exchange, route, items, tokens, storeNow);
        jobStore.create(job, exchange.request().body())
                .whenCompleteAsync(
                        (result, failure) -> {
                            pendingJobs.remove(id);
                            handleCreateResult(exchange, route, job, items, result);
                        },
                        loop);
    }

    private JobRecord newJob(
            ClientExchange exchange,
            Route route,
            ImmutableList<BatchItem> items,
            long tokens,
            long storeNow) {
        return new JobRecord(
                exchange.request().id(),
                route.name(),
                exchange.request().host(),
                exchange.request().path(),
                self,
                1,
                items.size(),
                tokens,
                storeNow,
                false,
                ImmutableList.of(),
                ImmutableMap.of());
    }

    private void handleCreateResult(
            ClientExchange exchange,
            Route route,
            JobRecord job,
            ImmutableList<BatchItem> items,
            CommitResult result) {
        switch (result) {
            case CommitResult.Committed committed -> {
                jobTable.offer(new VersionedJob(job, committed.version()));
                runIfOwn(job.id(), items);
                acknowledge(exchange, job.id(), "new items=" + items.size());
            }
            case CommitResult.Conflict conflict -> {
                conflict.rows().stream()
                        .findFirst()
                        .flatMap(JobStore::decode)
                        .ifPresent(jobTable::offer);
                acknowledge(exchange, job.id(), "known");
            }
            case CommitResult.NotDone notDone -> {
                DecisionLog.batch(job.id(), "-", "not_stored", notDone.reason());
                relayOrRetry(exchange, route, items);
            }
            case CommitResult.Unknown unknown ->
                    resolveOutcome(exchange, job, items, unknown.reason());
            case null -> resolveOutcome(exchange, job, items, "no result");
        }
    }

    /**
     * Runs a job unless it was ended or taken over before its creation was confirmed, as the newest
     * known version says.
     */
    private void runIfOwn(String jobId, ImmutableList<BatchItem> items) {
        jobTable.job(jobId)
                .filter(newest -> newest.job().owner().equals(self))
                .ifPresent(newest -> runner.run(newest, items));
    }

    /** Reads whether a job was created; if the read fails, reports that the outcome is unknown. */
    private void resolveOutcome(
            ClientExchange exchange, JobRecord job, ImmutableList<BatchItem> items, String reason) {
        jobStore.read(job.id())
                .whenCompleteAsync(
                        (found, failure) -> {
                            if (failure == null && found.isPresent()) {
                                jobTable.offer(found.get());
                                runIfOwn(job.id(), items);
                                acknowledge(exchange, job.id(), "resolved");
                            } else {
                                DecisionLog.batch(job.id(), "-", "open", reason);
                                exchange.refuse(
                                        Refusal.mayHaveRun(ResultCode.WRITE_OUTCOME_UNKNOWN));
                            }
                        },
                        loop);
    }

    private static void acknowledge(ClientExchange exchange, String id, String reason) {
        DecisionLog.batch(id, "-", "accepted", reason);
        exchange.sendJson(STATUS_ACCEPTED, EMPTY_OBJECT);
    }

    private static void refuse(
            ClientExchange exchange, String id, int status, ResultCode code, Duration retryAfter) {
        DecisionLog.batch(id, "-", "refused", code.name());
        exchange.refuse(new Refusal(status, code, Executed.NO, Optional.of(retryAfter)));
    }
}
