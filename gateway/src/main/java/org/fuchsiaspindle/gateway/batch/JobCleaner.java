package org.fuchsiaspindle.gateway.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fuchsiaspindle.core.job.JobExpiry;
import org.fuchsiaspindle.core.job.JobRecord;
import org.fuchsiaspindle.gateway.batch.JobStore.VersionedJob;
import org.fuchsiaspindle.platform.store.StoreClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Deletes closed jobs from the store when their results need no longer be readable.
 *
 * <p>Confined to the event loop of the request path.
 */
public final class JobCleaner {

    private static final Logger LOG = LoggerFactory.getLogger(JobCleaner.class);

    private static final Duration MAX_CHECK_INTERVAL = Duration.ofSeconds(10);

    /** Number of jobs that are deleted at a time, so that deletions do not delay other calls. */
    private static final int MAX_DELETIONS = 8;

    private final EventLoop loop;
    private final JobStore jobStore;
    private final JobTable jobTable;
    private final StoreClock storeClock;
    private final String ip;
    private final Supplier<Collection<String>> peersWithStore;
    private final Duration readableFor;
    private final Set<String> deleting = new HashSet<>();

    private JobCleaner(
            EventLoop loop,
            JobStore jobStore,
            JobTable jobTable,
            StoreClock storeClock,
            String ip,
            Supplier<Collection<String>> peersWithStore,
            Duration readableFor) {
        this.loop = loop;
        this.jobStore = jobStore;
        this.jobTable = jobTable;
        this.storeClock = storeClock;
        this.ip = ip;
        this.peersWithStore = peersWithStore;
        this.readableFor = readableFor;
    }

    /**
     * Starts to look for jobs to delete.
     *
     * @param loop its event loop
     * @param jobStore the stored jobs
     * @param jobTable the known jobs
     * @param storeClock the clock that measures the age of jobs
     * @param ip the address of this gateway
     * @param peersWithStore the addresses of the other gateways that reach the store
     * @param readableFor the time after acceptance for which results must be readable
     */
    public static JobCleaner start(
            EventLoop loop,
            JobStore jobStore,
            JobTable jobTable,
            StoreClock storeClock,
            String ip,
            Supplier<Collection<String>> peersWithStore,
            Duration readableFor) {
        JobCleaner cleaner =
                new JobCleaner(
                        checkNotNull(loop, "loop"),
                        checkNotNull(jobStore, "jobStore"),
                        checkNotNull(jobTable, "jobTable"),
                        checkNotNull(storeClock, "storeClock"),
                        checkNotNull(ip, "ip"),
                        checkNotNull(peersWithStore, "peersWithStore"),
                        checkNotNull(readableFor, "readableFor"));
        Duration interval = readableFor.dividedBy(4);
        if (interval.compareTo(MAX_CHECK_INTERVAL) > 0) {
            interval = MAX_CHECK_INTERVAL;
        }
        loop.scheduleAtFixedRate(
                cleaner::deleteDueJobs,
                interval.toMillis(),
                interval.toMillis(),
                TimeUnit.MILLISECONDS);
        return cleaner;
    }

    private void deleteDueJobs() {
        OptionalLong storeNow = storeClock.nowMillis();
        if (storeNow.isEmpty()) {
            return;
        }
        Collection<String> peers = peersWithStore.get();
        for (VersionedJob versioned : List.copyOf(jobTable.jobs())) {
            JobRecord job = versioned.job();
            Duration age = Duration.ofMillis(storeNow.getAsLong() - job.acceptedAtMillis());
            if (deleting.size() < MAX_DELETIONS
                    && JobExpiry.isDue(job, age, readableFor)
                    && JobExpiry.isResponsible(job.id(), ip, peers)
                    && deleting.add(job.id())) {
                delete(job);
            }
        }
    }

    private void delete(JobRecord job) {
        jobStore.delete(job)
                .whenCompleteAsync(
                        (done, failure) -> {
                            deleting.remove(job.id());
                            if (failure == null) {
                                jobTable.remove(job.id());
                                LOG.info("batch: expired job deleted job={}", job.id());
                            } else {
                                LOG.info(
                                        "batch: expired job not deleted yet job={} reason={}",
                                        job.id(),
                                        failure.getMessage());
                            }
                        },
                        loop);
    }
}
