package org.fuchsiaspindle.gateway.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.fuchsiaspindle.gateway.batch.JobStore.VersionedJob;
import org.fuchsiaspindle.gateway.watch.StoreHealth;
import org.fuchsiaspindle.gateway.watch.TableWatch;
import org.fuchsiaspindle.platform.store.StoreClient;
import org.fuchsiaspindle.platform.store.StoredRow;

/**
 * A replica of the rows of all jobs, which follows the store with a short delay.
 *
 * <p>Confined to the event loop of the request path; the rows are decoded on the store's loop.
 */
public final class JobTable {

    private static final Duration LONG_POLL_TIMEOUT = Duration.ofMillis(1000);

    /** Time between two calls, which bounds their rate while many jobs change. */
    private static final Duration POLL_PAUSE = Duration.ofMillis(200);

    private final EventLoop loop;
    private final Map<String, VersionedJob> jobs = new HashMap<>();
    private final List<Consumer<VersionedJob>> listeners = new ArrayList<>();
    private boolean loaded;

    private JobTable(EventLoop loop) {
        this.loop = loop;
    }

    /** Creates an empty table. */
    public static JobTable create(EventLoop loop) {
        return new JobTable(checkNotNull(loop, "loop"));
    }

    /** Starts to watch the store. */
    public void start(EventLoop storeLoop, StoreClient store, StoreHealth health) {
        TableWatch.Options options =
                new TableWatch.Options(JobStore.JOBS, true, LONG_POLL_TIMEOUT, POLL_PAUSE);
        TableWatch.start(storeLoop, store, health, options, (rows, version) -> offerLater(rows));
    }

    /** Adds a listener that is called on the event loop with each newer version of a job. */
    public void addListener(Consumer<VersionedJob> listener) {
        listeners.add(checkNotNull(listener, "listener"));
    }

    /** Returns the newest known version of a job. */
    public Optional<VersionedJob> job(String id) {
        return Optional.ofNullable(jobs.get(id));
    }

    /** Returns whether the jobs in the store were read since the start. */
    boolean isLoaded() {
        return loaded;
    }

    /** Returns all known jobs. */
    public Collection<VersionedJob> jobs() {
        return jobs.values();
    }

    /** Returns the tokens of all items of a workspace on a route that have no result yet. */
    public long waitingTokens(String route, String workspace) {
        long sum = 0;
        for (VersionedJob job : jobs.values()) {
            boolean counts =
                    job.job().isOpen()
                            && job.job().route().equals(route)
                            && job.job().workspace().equals(workspace);
            if (counts) {
                sum += job.job().waitingTokens();
            }
        }
        return sum;
    }

    /** Stores a version of a job in the table unless the same or a newer one is known. */
    public void offer(VersionedJob newJob) {
        VersionedJob known = jobs.get(newJob.job().id());
        if (known == null || newJob.version() > known.version()) {
            jobs.put(newJob.job().id(), newJob);
            listeners.forEach(listener -> listener.accept(newJob));
        }
    }

    /** Removes a job that was deleted from the store. */
    void remove(String id) {
        jobs.remove(id);
    }

    /** Adds rows that were read from the store, and removes deleted ones, on the event loop. */
    void offerLater(List<StoredRow> rows) {
        List<VersionedJob> decoded = new ArrayList<>();
        List<String> deletedIds = new ArrayList<>();
        for (StoredRow row : rows) {
            if (row.deleted()) {
                deletedIds.add(row.key().key());
            } else {
                JobStore.decode(row).ifPresent(decoded::add);
            }
        }
        loop.execute(
                () -> {
                    loaded = true;
                    decoded.forEach(this::offer);
                    deletedIds.forEach(this::remove);
                });
    }
}
