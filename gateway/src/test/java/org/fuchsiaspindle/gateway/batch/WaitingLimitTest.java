package org.fuchsiaspindle.gateway.batch;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.job.JobOwner;
import org.fuchsiaspindle.core.job.JobRecord;
import org.fuchsiaspindle.core.serving.Route;
import org.fuchsiaspindle.core.serving.RouteKind;
import org.fuchsiaspindle.core.serving.WeightedService;
import org.fuchsiaspindle.platform.store.CommitResult;
import org.fuchsiaspindle.platform.store.StoreClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests when room for the tokens of a job is reserved. */
final class WaitingLimitTest {

    private static final long LIMIT = 1000;

    private final EventLoop loop = new DefaultEventLoop();
    private final JobTable jobTable = JobTable.create(loop);

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** Returns a store that accepts every transaction. */
    private static StoreClient store() {
        return (StoreClient)
                Proxy.newProxyInstance(
                        StoreClient.class.getClassLoader(),
                        new Class<?>[] {StoreClient.class},
                        (proxy, method, arguments) ->
                                CompletableFuture.completedFuture(new CommitResult.Committed(1)));
    }

    private WaitingLimit.Outcome reserve(long tokens) throws Exception {
        Route route =
                new Route(
                        "route",
                        "host",
                        "/batch/",
                        RouteKind.BATCH,
                        List.of(new WeightedService("model", 1)),
                        Duration.ofSeconds(1),
                        Duration.ofSeconds(1),
                        0,
                        1,
                        false,
                        Optional.of(
                                new Route.BatchLimits(
                                        Duration.ofSeconds(1), Duration.ofSeconds(1), LIMIT)),
                        false);
        JobRecord job =
                new JobRecord(
                        "job",
                        "route",
                        "host",
                        "/batch/x",
                        "workspace",
                        new JobOwner("127.0.0.1", "i"),
                        1,
                        1,
                        tokens,
                        0,
                        false,
                        ImmutableList.of(),
                        ImmutableMap.of());
        CompletableFuture<WaitingLimit.Outcome> outcome = new CompletableFuture<>();
        WaitingLimit waitingLimit = new WaitingLimit(loop, JobStore.on(store()), jobTable);
        loop.execute(() -> waitingLimit.reserve(job, route, outcome::complete));
        return outcome.get(10, TimeUnit.SECONDS);
    }

    /** Guards against a gateway that has just started and takes all waiting jobs for none. */
    @Test
    void jobIsNotReserved_beforeTheJobsAreKnown() throws Exception {
        assertThat(reserve(1)).isEqualTo(WaitingLimit.Outcome.UNAVAILABLE);
        jobTable.offerLater(List.of());
        assertThat(reserve(LIMIT)).isEqualTo(WaitingLimit.Outcome.RESERVED);
        assertThat(reserve(LIMIT + 1)).isEqualTo(WaitingLimit.Outcome.EXCEEDED);
    }
}
