package org.fuchsiaspindle.gateway.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fuchsiaspindle.core.job.ItemDurationEstimator;
import org.fuchsiaspindle.core.job.JobRecord;
import org.fuchsiaspindle.core.serving.BatchUrgency;
import org.fuchsiaspindle.core.serving.Route;
import org.fuchsiaspindle.core.serving.RouteKind;
import org.fuchsiaspindle.gateway.view.FleetViewHolder;
import org.fuchsiaspindle.platform.store.StoreClock;

/** Orders the items to run by the due times of their jobs; not thread-safe. */
final class ItemSchedule {

    private final FleetViewHolder viewHolder;
    private final StoreClock storeClock;
    private final ItemDurationEstimator durationEstimator = new ItemDurationEstimator();

    ItemSchedule(FleetViewHolder viewHolder, StoreClock storeClock) {
        this.viewHolder = checkNotNull(viewHolder, "viewHolder");
        this.storeClock = checkNotNull(storeClock, "storeClock");
    }

    /** Updates the estimate of how long items run from a completed item. */
    void completed(ItemRun run, long now) {
        durationEstimator.recordCompletedItem(run.lastEventNumber());
        durationEstimator.recordRun(run.eventsOfThisRun(), run.timeOfThisRun(now));
    }

    /** Returns the route of a job in the configuration in force, empty if it was removed. */
    Optional<Route> route(JobRecord job) {
        return viewHolder
                .view()
                .config()
                .flatMap(config -> config.match(job.host(), job.path()))
                .filter(route -> route.kind() == RouteKind.BATCH);
    }

    /**
     * Returns items in the order in which they run: by due time, then by progress, largest first.
     */
    List<ItemRun> byUrgency(List<ItemRun> runs) {
        Map<OwnedJob, Long> dueMillisByJob = new HashMap<>();
        Map<ItemRun, Long> dueMillisByRun = new HashMap<>();
        for (ItemRun run : runs) {
            long jobDueMillis =
                    dueMillisByJob.computeIfAbsent(run.job(), job -> dueMillis(job.job()));
            dueMillisByRun.put(run, orderedDueMillis(run, jobDueMillis));
        }
        List<ItemRun> sorted = new ArrayList<>(runs);
        sorted.sort(
                Comparator.comparingLong((ItemRun run) -> dueMillisByRun.get(run))
                        .thenComparingLong(run -> -run.lastEventNumber()));
        return sorted;
    }

    /** Returns when the results of a job are due, in milliseconds of the store's clock. */
    private long dueMillis(JobRecord job) {
        Duration completionTarget =
                route(job)
                        .flatMap(Route::batch)
                        .map(Route.BatchLimits::completionTarget)
                        .orElse(Duration.ZERO);
        return job.acceptedAtMillis() + completionTarget.toMillis();
    }

    private long orderedDueMillis(ItemRun run, long jobDueMillis) {
        long now = storeClock.nowMillis().orElse(run.job().job().acceptedAtMillis());
        long expectedFinishMillis =
                now + durationEstimator.remainingTime(run.lastEventNumber()).toMillis();
        return BatchUrgency.orderedDue(jobDueMillis, expectedFinishMillis);
    }

    /** Returns the urgency of the items of some jobs, which other gateways compare with theirs. */
    BatchUrgency urgency(Collection<OwnedJob> jobs) {
        long earliestWaiting = BatchUrgency.NONE;
        long latestRunning = BatchUrgency.NONE;
        for (OwnedJob job : jobs) {
            long jobDueMillis = dueMillis(job.job());
            for (ItemRun run : job.runs()) {
                long dueMillis = orderedDueMillis(run, jobDueMillis);
                if (run.isPending()
                        && (earliestWaiting == BatchUrgency.NONE || dueMillis < earliestWaiting)) {
                    earliestWaiting = dueMillis;
                } else if (run.isRunning()) {
                    latestRunning = Math.max(latestRunning, dueMillis);
                }
            }
        }
        return new BatchUrgency(earliestWaiting, latestRunning);
    }
}
