package org.fuchsiaspindle.gateway.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.error.Executed;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.job.JobOwner;
import org.fuchsiaspindle.core.job.JobRecord;
import org.fuchsiaspindle.core.serving.Route;
import org.fuchsiaspindle.core.workspace.CallerAccess;
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
    private final WaitingLimit waitingLimit;

    private JobSubmissionHandler(Dependencies dependencies) {
        this.loop = dependencies.loop();
        this.jobStore = dependencies.jobStore();
        this.jobTable = dependencies.jobTable();
        this.runner = dependencies.runner();
        this.relay = dependencies.relay();
        this.self = dependencies.self();
        this.storeClock = dependencies.storeClock();
        this.storeHealth = dependencies.storeHealth();
        this.waitingLimit = new WaitingLimit(loop, jobStore, jobTable);
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

    /** A decoded submission of a job that is not known yet. */
    private record Submission(
            ClientExchange exchange,
            Route route,
            CallerAccess access,
            ImmutableList<BatchItem> items) {

        String id() {
            return exchange.request().id();
        }

        String workspace() {
            return access.workspaceName();
        }

        long tokens() {
            return items.stream().mapToLong(BatchItem::tokens).sum();
        }
    }

    /** Creates a handler of submissions. */
    public static JobSubmissionHandler create(Dependencies dependencies) {
        return new JobSubmissionHandler(checkNotNull(dependencies, "dependencies"));
    }

    /**
     * Acknowledges a request if it repeats the submission of a known job, also if its path belongs
     * to another route by now. The job of another workspace is not repeated.
     *
     * @return whether the request was acknowledged
     */
    public boolean acknowledgeRepeat(ClientExchange exchange, CallerAccess access) {
        ClientRequest request = exchange.request();
        boolean isRepeat =
                request.method().equals(HttpMethod.POST)
                        && jobTable.job(request.id())
                                .map(VersionedJob::job)
                                .filter(job -> job.host().equals(request.host()))
                                .filter(job -> job.path().equals(request.path()))
                                .filter(job -> access.mayUseJob(job.workspace()))
                                .isPresent();
        if (isRepeat) {
            acknowledge(exchange, request.id(), "known");
        }
        return isRepeat;
    }

    /** Handles a submission on a route for batch jobs. */
    public void handle(ClientExchange exchange, Route route, CallerAccess access) {
        String id = exchange.request().id();
        if (!JobStore.isValidId(id)) {
            exchange.refuse(Refusal.of(STATUS_BAD_REQUEST, ResultCode.MALFORMED_REQUEST));
            return;
        }
        Optional<VersionedJob> known = jobTable.job(id);
        if (known.isPresent()) {
            acknowledgeKnown(exchange, id, known, access);
            return;
        }
        ImmutableList<BatchItem> items;
        try {
            items = JobApiCodec.decodeSubmission(exchange.request().body());
        } catch (FuchsiaspindleException failure) {
            DecisionLog.batch(id, "-", "refused", failure.getMessage());
            exchange.refuse(Refusal.of(STATUS_BAD_REQUEST, failure.code()));
            return;
        }
        Submission submission = new Submission(exchange, route, access, items);
        if (!storeHealth.isReachable() && !exchange.request().relayed()) {
            relayOrRetry(submission);
        } else {
            submit(submission);
        }
    }

    /**
     * Forwards a submission that was not stored or, if it cannot be forwarded, retries it while its
     * client waits.
     */
    private void relayOrRetry(Submission submission) {
        ClientExchange exchange = submission.exchange();
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
        loop.schedule(() -> retry(submission), RETRY_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Stores a job if the store is reachable; a write to an unreachable store would have an unknown
     * outcome.
     */
    private void retry(Submission submission) {
        if (submission.exchange().isDone()) {
            return;
        }
        if (storeHealth.isReachable()) {
            submit(submission);
        } else {
            relayOrRetry(submission);
        }
    }

    private void submit(Submission submission) {
        OptionalLong storeNow = storeClock.nowMillis();
        if (storeNow.isEmpty()) {
            // The store's clock measures the age of jobs, so no job is created without its time.
            relayOrRetry(submission);
            return;
        }
        JobRecord job = newJob(submission, storeNow.getAsLong());
        waitingLimit.reserve(
                job, submission.route(), outcome -> handleReservation(submission, job, outcome));
    }

    private void handleReservation(
            Submission submission, JobRecord job, WaitingLimit.Outcome outcome) {
        switch (outcome) {
            case RESERVED -> create(submission, job);
            case EXCEEDED ->
                    refuse(
                            submission.exchange(),
                            job.id(),
                            STATUS_TOO_MANY_REQUESTS,
                            ResultCode.JOB_LIMITED,
                            QUOTA_RETRY_AFTER);
            // Nothing of the job is stored yet.
            case UNAVAILABLE -> relayOrRetry(submission);
            default -> throw new AssertionError(outcome);
        }
    }

    private void create(Submission submission, JobRecord job) {
        jobStore.create(job, submission.exchange().request().body())
                .whenCompleteAsync(
                        (result, failure) -> handleCreateResult(submission, job, result), loop);
    }

    private JobRecord newJob(Submission submission, long storeNow) {
        ClientRequest request = submission.exchange().request();
        return new JobRecord(
                request.id(),
                submission.route().name(),
                request.host(),
                request.path(),
                submission.workspace(),
                self,
                1,
                submission.items().size(),
                submission.tokens(),
                storeNow,
                false,
                ImmutableList.of(),
                ImmutableMap.of());
    }

    private void handleCreateResult(Submission submission, JobRecord job, CommitResult result) {
        switch (result) {
            case CommitResult.Committed committed -> {
                jobTable.offer(new VersionedJob(job, committed.version()));
                runIfOwn(job.id(), submission.items());
                acknowledge(
                        submission.exchange(), job.id(), "new items=" + submission.items().size());
            }
            case CommitResult.Conflict conflict -> {
                Optional<VersionedJob> stored =
                        conflict.rows().stream().findFirst().flatMap(JobStore::decode);
                stored.ifPresent(jobTable::offer);
                acknowledgeKnown(submission.exchange(), job.id(), stored, submission.access());
            }
            case CommitResult.NotDone notDone -> {
                DecisionLog.batch(job.id(), "-", "not_stored", notDone.reason());
                relayOrRetry(submission);
            }
            case CommitResult.Unknown unknown -> resolveOutcome(submission, unknown.reason());
            case null -> resolveOutcome(submission, "no result");
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
    private void resolveOutcome(Submission submission, String reason) {
        jobStore.read(submission.id())
                .whenCompleteAsync(
                        (found, failure) -> {
                            if (failure == null && found.isPresent()) {
                                jobTable.offer(found.get());
                                runIfOwn(submission.id(), submission.items());
                                acknowledgeKnown(
                                        submission.exchange(),
                                        submission.id(),
                                        found,
                                        submission.access());
                            } else {
                                DecisionLog.batch(submission.id(), "-", "open", reason);
                                submission
                                        .exchange()
                                        .refuse(
                                                Refusal.mayHaveRun(
                                                        ResultCode.WRITE_OUTCOME_UNKNOWN));
                            }
                        },
                        loop);
    }

    /**
     * Acknowledges the submission of a stored job, unless another workspace submitted the job, of
     * which its caller learns no more than that the identifier is taken.
     *
     * @param stored the stored job, empty if its row cannot be decoded
     */
    private static void acknowledgeKnown(
            ClientExchange exchange,
            String id,
            Optional<VersionedJob> stored,
            CallerAccess access) {
        if (stored.filter(job -> !access.mayUseJob(job.job().workspace())).isPresent()) {
            DecisionLog.batch(id, "-", "refused", ResultCode.JOB_CONFLICT.name());
            exchange.refuse(Refusal.of(ResultCode.JOB_CONFLICT));
        } else {
            acknowledge(exchange, id, "known");
        }
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
