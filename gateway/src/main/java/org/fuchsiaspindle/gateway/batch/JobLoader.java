package org.fuchsiaspindle.gateway.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.job.JobLoadQueue;
import org.fuchsiaspindle.core.job.JobOwner;
import org.fuchsiaspindle.gateway.batch.JobStore.VersionedJob;
import org.fuchsiaspindle.platform.job.BatchItem;
import org.fuchsiaspindle.platform.job.JobApiCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the submissions of the jobs that this gateway owns, as far as there is memory for them.
 *
 * <p>Confined to the event loop of the request path.
 */
final class JobLoader {

    private static final Logger LOG = LoggerFactory.getLogger(JobLoader.class);

    /** Size of an item without its body, as an estimate. */
    private static final long ITEM_OVERHEAD_BYTES = 1024;

    /** Receives the jobs that were loaded. */
    @FunctionalInterface
    interface Listener {

        /**
         * Called when a job is in memory.
         *
         * @param job its newest known version, which this process owns
         * @param items its items
         * @param progress the stored progress by item
         */
        void onLoaded(
                VersionedJob job,
                ImmutableList<BatchItem> items,
                Map<Integer, ItemProgress> progress);
    }

    /** The submission and the progress of a job, as read from the store. */
    private record SubmissionAndProgress(
            Optional<byte[]> submission, Map<Integer, ItemProgress> progress) {}

    private final EventLoop loop;
    private final JobStore jobStore;
    private final JobTable jobTable;
    private final JobOwner self;
    private final JobLoadQueue queue;
    private final Listener listener;

    JobLoader(
            EventLoop loop,
            JobStore jobStore,
            JobTable jobTable,
            JobOwner self,
            JobLoadQueue queue,
            Listener listener) {
        this.loop = checkNotNull(loop, "loop");
        this.jobStore = checkNotNull(jobStore, "jobStore");
        this.jobTable = checkNotNull(jobTable, "jobTable");
        this.self = checkNotNull(self, "self");
        this.queue = checkNotNull(queue, "queue");
        this.listener = checkNotNull(listener, "listener");
    }

    /** Returns the size of the items in memory, in bytes. */
    long itemBytes() {
        return queue.heldBytes();
    }

    /** Returns the number of jobs that wait to be loaded. */
    int waitingCount() {
        return queue.waitingCount();
    }

    /** Returns whether a job waits to be loaded or is being loaded. */
    boolean isPending(String jobId) {
        return queue.isPending(jobId);
    }

    /** Loads a job when there is memory for it; no effect if it is pending. */
    void load(VersionedJob job, long dueMillis) {
        queue.add(job.job().id(), dueMillis);
        loadNext();
    }

    /**
     * Returns whether a job whose items are in memory may stay there; if not, it must be loaded.
     */
    boolean tryHold(VersionedJob job, List<BatchItem> items) {
        return queue.tryHold(job.job().id(), bytes(items));
    }

    /** Forgets a job, whose memory is used for others. */
    void remove(String jobId) {
        queue.remove(jobId);
        loadNext();
    }

    private void loadNext() {
        long now = System.nanoTime();
        for (Optional<String> next = queue.poll(now); next.isPresent(); next = queue.poll(now)) {
            read(next.get());
        }
    }

    private void read(String jobId) {
        if (ownOpenJob(jobId).isEmpty()) {
            queue.remove(jobId);
            return;
        }
        jobStore.submission(jobId, queue.silenceLimit(jobId))
                .thenCombine(jobStore.progress(jobId), SubmissionAndProgress::new)
                .whenCompleteAsync((stored, failure) -> handleRead(jobId, stored, failure), loop);
    }

    /** Returns the newest version of a job if this process owns it and it is open. */
    private Optional<VersionedJob> ownOpenJob(String jobId) {
        return jobTable.job(jobId)
                .filter(job -> job.job().owner().equals(self) && job.job().isOpen());
    }

    private void handleRead(String jobId, SubmissionAndProgress stored, Throwable failure) {
        Optional<VersionedJob> current = ownOpenJob(jobId);
        if (current.isEmpty()) {
            remove(jobId);
        } else if (failure != null || stored.submission().isEmpty()) {
            LOG.warn("batch: submission not read job={} reason={}", jobId, String.valueOf(failure));
            readLater(jobId);
        } else {
            start(current.get(), stored);
        }
    }

    private void readLater(String jobId) {
        Duration delay = queue.failed(jobId, System.nanoTime(), ThreadLocalRandom.current());
        loop.schedule(this::loadNext, delay.toNanos(), TimeUnit.NANOSECONDS);
        loadNext();
    }

    private void start(VersionedJob job, SubmissionAndProgress stored) {
        String jobId = job.job().id();
        ImmutableList<BatchItem> items;
        try {
            items = JobApiCodec.decodeItems(stored.submission().orElseThrow());
        } catch (FuchsiaspindleException failure) {
            LOG.error("batch: submission cannot be decoded job={}", jobId, failure);
            remove(jobId);
            return;
        }
        if (queue.loaded(jobId, bytes(items))) {
            listener.onLoaded(job, items, stored.progress());
        }
        loadNext();
    }

    private static long bytes(List<BatchItem> items) {
        return items.stream().mapToLong(item -> item.body().length + ITEM_OVERHEAD_BYTES).sum();
    }
}
