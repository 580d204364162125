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
 * Watches one table: reads all rows, then polls for changes, and reads all rows again if the store
 * no longer has the history since the last change.
 *
 * <p>Confined to its event loop.
 */
public final class TableWatch {

    private static final Logger LOG = LoggerFactory.getLogger(TableWatch.class);
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(100);
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(400);

    /** Receives the rows of the table and their changes, on the event loop. */
    @FunctionalInterface
    public interface Listener {

        /**
         * Receives all rows of the table at a version of the store.
         *
         * <p>The default treats the rows as changes, which suits a listener that never removes
         * rows.
         */
        default void onContent(List<StoredRow> rows, long version) {
            onChanges(rows, version);
        }

        /** Receives the changed rows up to a version of the store, in the order of the changes. */
        void onChanges(List<StoredRow> rows, long version);
    }

    /**
     * The table to watch and the timing of the calls.
     *
     * @param table the name of the table
     * @param partitioned whether its rows are in several partitions
     * @param longPollTimeout how long the store waits for a change before it responds
     * @param pollPause the time between two calls, which bounds their rate
     */
    public record Options(
            String table, boolean partitioned, Duration longPollTimeout, Duration pollPause) {}

    private final EventLoop loop;
    private final StoreClient store;
    private final StoreHealth health;
    private final Options options;
    private final Listener listener;
    private int failures;
    private boolean stopped;

    private TableWatch(
            EventLoop loop,
            StoreClient store,
            StoreHealth health,
            Options options,
            Listener listener) {
        this.loop = loop;
        this.store = store;
        this.health = health;
        this.options = options;
        this.listener = listener;
    }

    /** Starts to watch a table. */
    public static TableWatch start(
            EventLoop loop,
            StoreClient store,
            StoreHealth health,
            Options options,
            Listener listener) {
        TableWatch watch =
                new TableWatch(
                        checkNotNull(loop, "loop"),
                        checkNotNull(store, "store"),
                        checkNotNull(health, "health"),
                        checkNotNull(options, "options"),
                        checkNotNull(listener, "listener"));
        loop.execute(watch::readAll);
        return watch;
    }

    /** Stops after the call in progress; its result may still be delivered. */
    public void stop() {
        loop.execute(() -> stopped = true);
    }

    private void readAll() {
        if (stopped) {
            return;
        }
        CompletableFuture<RowPage> allRows =
                options.partitioned() ? readAllPartitions() : readPartition("");
        allRows.whenCompleteAsync(
                (page, failure) -> {
                    if (failure != null) {
                        retryLater(failure, this::readAll);
                        return;
                    }
                    recordSuccess();
                    deliver(() -> listener.onContent(page.rows(), page.version()));
                    waitForChanges(page.version());
                },
                loop);
    }

    private CompletableFuture<RowPage> readAllPartitions() {
        // The empty partition is read first. Its version is not newer than that of the other reads,
        // so a watch from this version does not miss changes made between the reads.
        return readPartition("")
                .thenCompose(
                        first ->
                                store.partitions(options.table())
                                        .thenCompose(names -> addPartitions(first, names)));
    }

    private CompletableFuture<RowPage> addPartitions(RowPage first, List<String> names) {
        CompletableFuture<RowPage> result = CompletableFuture.completedFuture(first);
        for (String name : names) {
            if (!name.isEmpty()) {
                result =
                        result.thenCompose(
                                combined -> readPartition(name).thenApply(combined::concat));
            }
        }
        return result;
    }

    private CompletableFuture<RowPage> readPartition(String name) {
        return store.allRows(options.table(), name, "", "");
    }

    private void waitForChanges(long version) {
        if (stopped) {
            return;
        }
        // While the store is unreachable, calls that do not wait for a change detect its recovery
        // sooner.
        Duration longPollTimeout = health.isReachable() ? options.longPollTimeout() : Duration.ZERO;
        store.changes(options.table(), version, longPollTimeout)
                .whenCompleteAsync(
                        (result, failure) -> {
                            if (failure != null) {
                                retryLater(failure, () -> waitForChanges(version));
                                return;
                            }
                            recordSuccess();
                            handle(result);
                        },
                        loop);
    }

    private void handle(FeedResult result) {
        switch (result) {
            case FeedResult.HistoryLost historyLost -> {
                LOG.info(
                        "store: change history lost, reading the whole table table={}",
                        options.table());
                readAll();
            }
            case FeedResult.Changes changes -> {
                if (!changes.rows().isEmpty()) {
                    List<StoredRow> rows = new ArrayList<>(changes.rows());
                    deliver(() -> listener.onChanges(rows, changes.version()));
                }
                loop.schedule(
                        () -> waitForChanges(changes.version()),
                        options.pollPause().toMillis(),
                        TimeUnit.MILLISECONDS);
            }
        }
    }

    /** Passes rows on; a failure of the listener does not end the watch. */
    private void deliver(Runnable delivery) {
        try {
            delivery.run();
        } catch (RuntimeException failure) {
            LOG.error("store: rows not processed table={}", options.table(), failure);
        }
    }

    private void recordSuccess() {
        health.recordSuccess();
        failures = 0;
    }

    private void retryLater(Throwable failure, Runnable action) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        health.recordFailure(cause.getMessage());
        failures++;
        Duration maxDelay = Backoff.bound(failures, INITIAL_RETRY_DELAY, MAX_RETRY_DELAY);
        Duration delay = Backoff.jittered(maxDelay, ThreadLocalRandom.current());
        loop.schedule(action, delay.toMillis(), TimeUnit.MILLISECONDS);
    }
}
