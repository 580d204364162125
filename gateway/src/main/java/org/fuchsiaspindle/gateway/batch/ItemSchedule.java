package org.fuchsiaspindle.gateway.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fuchsiaspindle.core.job.ItemDurationEstimator;
import org.fuchsiaspindle.core.job.JobRecord;
import org.fuchsiaspindle.core.serving.BatchDue;
import org.fuchsiaspindle.core.serving.Route;
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

    /** Returns the route of a job in the current configuration, empty if it was removed. */
    Optional<Route> route(JobRecord job) {
        return viewHolder
                .view()
                .config()
                .flatMap(config -> config.batchRoute(job.route(), job.host(), job.path()));
    }

    /** Returns the item that runs next: the one due first and, of several, the most advanced. */
    Optional<ItemRun> mostUrgent(List<ItemRun> runs) {
        Map<ItemRun, Long> dueMillisByRun = orderedDueMillis(runs);
        return runs.stream()
                .min(
                        Comparator.comparingLong((ItemRun run) -> dueMillisByRun.get(run))
                                .thenComparingLong(run -> -run.lastEventNumber()));
    }

    /** Returns the earliest ordered due time of some items, 0 if there are none. */
    long earliestDueMillis(List<ItemRun> runs) {
        return orderedDueMillis(runs).values().stream().mapToLong(due -> due).min().orElse(0);
    }

    private Map<ItemRun, Long> orderedDueMillis(List<ItemRun> runs) {
        Map<OwnedJob, Long> dueMillisByJob = new HashMap<>();
        Map<ItemRun, Long> dueMillisByRun = new HashMap<>();
        for (ItemRun run : runs) {
            long jobDueMillis =
                    dueMillisByJob.computeIfAbsent(run.job(), job -> dueMillis(job.job()));
            dueMillisByRun.put(run, orderedDueMillis(run, jobDueMillis));
        }
        return dueMillisByRun;
    }

    /** Returns when the results of a job are due, in milliseconds of the store's clock. */
    long dueMillis(JobRecord job) {
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
        return BatchDue.ordered(jobDueMillis, expectedFinishMillis);
    }
}
