package org.fuchsiaspindle.gateway.batch;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fuchsiaspindle.core.job.JobRecord;
import org.fuchsiaspindle.gateway.batch.JobStore.VersionedJob;
import org.fuchsiaspindle.platform.job.BatchItem;

/** A job that this gateway owns, with the state of its items; not thread-safe. */
final class OwnedJob {

    private VersionedJob stored;
    private final ImmutableList<BatchItem> items;
    private final List<ItemRun> runs = new ArrayList<>();
    private final Map<Integer, Integer> failures = new HashMap<>();
    private boolean committing;
    private long failureChanges;
    private long storedFailureChanges;
    private long retryAtNanos;

    OwnedJob(
            VersionedJob stored,
            ImmutableList<BatchItem> items,
            Map<Integer, ItemProgress> progress) {
        this.stored = stored;
        this.items = items;
        failures.putAll(stored.job().failures());
        Set<Integer> listed = stored.job().listedItems();
        for (int item = 0; item < items.size(); item++) {
            if (!listed.contains(item)) {
                ItemRun run = new ItemRun(this, item, items.get(item));
                Optional.ofNullable(progress.get(item)).ifPresent(run::restore);
                runs.add(run);
            }
        }
    }

    String id() {
        return stored.job().id();
    }

    JobRecord job() {
        return stored.job();
    }

    VersionedJob stored() {
        return stored;
    }

    /** Replaces the stored version by a newer one and removes the items whose results it lists. */
    void rebase(VersionedJob newJob) {
        stored = newJob;
        Set<Integer> listed = newJob.job().listedItems();
        for (ItemRun run : List.copyOf(runs)) {
            if (listed.contains(run.index())) {
                run.stop();
                runs.remove(run);
            }
        }
    }

    /** Returns the items that have no result in the store. */
    List<ItemRun> runs() {
        return runs;
    }

    List<ItemRun> finishedRuns() {
        return runs.stream().filter(ItemRun::isFinished).toList();
    }

    /** Returns the progress of the unfinished items that advanced since the last call, by item. */
    Map<Integer, ItemProgress> pollProgress() {
        Map<Integer, ItemProgress> progress = new HashMap<>();
        for (ItemRun run : runs) {
            run.pollProgress().ifPresent(itemProgress -> progress.put(run.index(), itemProgress));
        }
        return progress;
    }

    int addFailure(int item) {
        failureChanges++;
        return failures.merge(item, 1, Integer::sum);
    }

    Map<Integer, Integer> failures() {
        return failures;
    }

    boolean hasFailuresToStore() {
        return failureChanges > storedFailureChanges;
    }

    /** Returns how often a failure was added, which identifies the counts at this moment. */
    long failureChanges() {
        return failureChanges;
    }

    /** Records that the failures of a moment are stored. */
    void failuresStored(long changes) {
        storedFailureChanges = Math.max(storedFailureChanges, changes);
    }

    long tokensOfUnlistedItems(Set<Integer> listed) {
        long sum = 0;
        for (int item = 0; item < items.size(); item++) {
            sum += listed.contains(item) ? 0 : items.get(item).tokens();
        }
        return sum;
    }

    boolean isCommitting() {
        return committing;
    }

    void setCommitting(boolean newCommitting) {
        committing = newCommitting;
    }

    long retryAtNanos() {
        return retryAtNanos;
    }

    void setRetryAtNanos(long nanos) {
        retryAtNanos = nanos;
    }

    void stopAll() {
        runs.forEach(ItemRun::stop);
    }
}
