package org.fuchsiaspindle.gateway.watch;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.membership.Backoff;
import org.fuchsiaspindle.platform.store.FeedResult;
import org.fuchsiaspindle.platform.store.RowPage;
import org.fuchsiaspindle.platform.store.StoreClient;
import org.fuchsiaspindle.platform.store.StoredRow;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows one table: reads it whole, then waits for its changes, and reads it whole again if the
 * store has lost the changes in between.
 *
 * <p>Confined to its event loop.
 */
public final class TableWatch {

    private static final Logger LOG = LoggerFactory.getLogger(TableWatch.class);
    private static final Duration FIRST_RETRY = Duration.ofMillis(100);
    private static final Duration MAX_RETRY = Duration.ofMillis(400);

    /** Receives the content of the table. */
    @FunctionalInterface
    public interface Listener {

        /**
         * Receives the whole table as of a version of the store.
         *
         * <p>By default the rows count as changes, which suits a listener that never forgets a row.
         */
        default void onContent(List<StoredRow> rows, long version) {
            onChanges(rows, version);
        }

        /** Receives changes in their order, up to a version of the store. */
        void onChanges(List<StoredRow> rows, long version);
    }

    /**
     * How a table is followed.
     *
     * @param table the table
     * @param partitioned whether its rows lie in several partitions
     * @param holdTime how long a call waits for changes
     * @param pause the time between two calls, which bounds their number
     */
    public record Plan(String table, boolean partitioned, Duration holdTime, Duration pause) {}

    private final EventLoop loop;
    private final StoreClient store;
    private final StoreHealth health;
    private final Plan plan;
    private final Listener listener;
    private int failures;
    private boolean stopped;

    private TableWatch(
            EventLoop loop, StoreClient store, StoreHealth health, Plan plan, Listener listener) {
        this.loop = loop;
        this.store = store;
        this.health = health;
        this.plan = plan;
        this.listener = listener;
    }

    /** Starts to follow a table. */
    public static TableWatch start(
            EventLoop loop, StoreClient store, StoreHealth health, Plan plan, Listener listener) {
        TableWatch watch =
                new TableWatch(
                        checkNotNull(loop, "loop"),
                        checkNotNull(store, "store"),
                        checkNotNull(health, "health"),
                        checkNotNull(plan, "plan"),
                        checkNotNull(listener, "listener"));
        loop.execute(watch::readAll);
        return watch;
    }

    /** Stops after the call that is under way. */
    public void stop() {
        loop.execute(() -> stopped = true);
    }

    private void readAll() {
        if (stopped) {
            return;
        }
        CompletableFuture<RowPage> content = plan.partitioned() ? allPartitions() : partition("");
        content.whenCompleteAsync(
                (page, failure) -> {
                    if (failure != null) {
                        retryLater(failure, this::readAll);
                        return;
                    }
                    succeeded();
                    listener.onContent(page.rows(), page.version());
                    waitForChanges(page.version());
                },
                loop);
    }

    private CompletableFuture<RowPage> allPartitions() {
        // The empty partition is read first: its version is not newer than the other reads, so no
        // change between the reads is missed.
        return partition("")
                .thenCompose(
                        first ->
                                store.partitions(plan.table())
                                        .thenCompose(names -> addPartitions(first, names)));
    }

    private CompletableFuture<RowPage> addPartitions(RowPage first, List<String> names) {
        CompletableFuture<RowPage> result = CompletableFuture.completedFuture(first);
        for (String name : names) {
            if (!name.isEmpty()) {
                result = result.thenCompose(sum -> partition(name).thenApply(sum::concat));
            }
        }
        return result;
    }

    private CompletableFuture<RowPage> partition(String name) {
        return pageFrom(name, "");
    }

    private CompletableFuture<RowPage> pageFrom(String partition, String from) {
        return store.rows(plan.table(), partition, from, "")
                .thenCompose(
                        page -> {
                            if (!page.hasMore() || page.rows().isEmpty()) {
                                return CompletableFuture.completedFuture(page);
                            }
                            String next = page.rows().getLast().key().key() + '\0';
                            return pageFrom(partition, next).thenApply(page::concat);
                        });
    }

    private void waitForChanges(long version) {
        if (stopped) {
            return;
        }
        // While the store is away, short calls find out sooner that it is back.
        Duration holdTime = health.isReachable() ? plan.holdTime() : Duration.ZERO;
        store.changes(plan.table(), version, holdTime)
                .whenCompleteAsync(
                        (result, failure) -> {
                            if (failure != null) {
                                retryLater(failure, () -> waitForChanges(version));
                                return;
                            }
                            succeeded();
                            handle(result);
                        },
                        loop);
    }

    private void handle(FeedResult result) {
        switch (result) {
            case FeedResult.HistoryLost lost -> {
                LOG.info("store: history lost table={}", plan.table());
                readAll();
            }
            case FeedResult.Changes changes -> {
                if (!changes.rows().isEmpty()) {
                    listener.onChanges(new ArrayList<>(changes.rows()), changes.version());
                }
                loop.schedule(
                        () -> waitForChanges(changes.version()),
                        plan.pause().toMillis(),
                        TimeUnit.MILLISECONDS);
            }
        }
    }

    private void succeeded() {
        health.answered();
        failures = 0;
    }

    private void retryLater(Throwable failure, Runnable step) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        health.failed(cause.getMessage());
        failures++;
        Duration bound = Backoff.bound(failures, FIRST_RETRY, MAX_RETRY);
        Duration delay = Backoff.jittered(bound, ThreadLocalRandom.current());
        loop.schedule(step, delay.toMillis(), TimeUnit.MILLISECONDS);
    }
}
