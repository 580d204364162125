package org.fuchsiaspindle.core.job;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The stored row of a batch job, without request bodies and result texts.
 *
 * @param id the identifier assigned by its client, not null
 * @param route the name of the route on which it was submitted
 * @param host the host named by the submission
 * @param path the path of the submission request
 * @param workspace the name of the workspace that submitted it, empty if there was none
 * @param owner the process that runs its items
 * @param epoch the ownership epoch, which increases with each change of the owner
 * @param itemCount the number of its items, positive
 * @param waitingTokens the total tokens of its items that have no result yet
 * @param acceptedAtMillis when it was accepted, on the store's steady clock, in milliseconds
 * @param ended whether its client ended the job
 * @param listed the items that have results, in the order of their results
 * @param failures the number of failures at targets, by item index
 */
public record JobRecord(
        String id,
        String route,
        String host,
        String path,
        String workspace,
        JobOwner owner,
        long epoch,
        int itemCount,
        long waitingTokens,
        long acceptedAtMillis,
        boolean ended,
        ImmutableList<ListedItem> listed,
        ImmutableMap<Integer, Integer> failures) {

    /** Validates the components. */
    public JobRecord {
        checkNotNull(id, "id");
        checkNotNull(workspace, "workspace");
        checkNotNull(owner, "owner");
        checkArgument(itemCount > 0, "items of job %s not positive: %s", id, itemCount);
        checkArgument(listed.size() <= itemCount, "job %s lists %s items", id, listed.size());
    }

    /** Returns whether items may still run. */
    public boolean isOpen() {
        return !ended && listed.size() < itemCount;
    }

    /** Returns the indexes of the items that have results. */
    public Set<Integer> listedItems() {
        Set<Integer> items = new HashSet<>();
        listed.forEach(entry -> items.add(entry.item()));
        return items;
    }

    /** Returns the job with another owner in a new epoch. */
    public JobRecord ownedBy(JobOwner newOwner) {
        return copy(newOwner, epoch + 1, waitingTokens, ended, listed, failures);
    }

    /** Returns the job as ended by its client. */
    public JobRecord end() {
        return copy(owner, epoch, 0, true, listed, failures);
    }

    /** Returns the job with further results appended. */
    public JobRecord withResults(List<ListedItem> results, long newWaitingTokens) {
        ImmutableList<ListedItem> allListed =
                ImmutableList.<ListedItem>builder().addAll(listed).addAll(results).build();
        return copy(owner, epoch, newWaitingTokens, ended, allListed, failures);
    }

    /** Returns the job with each failure count raised to at least the given one. */
    public JobRecord withFailures(Map<Integer, Integer> counts) {
        Map<Integer, Integer> merged = new HashMap<>(failures);
        counts.forEach((item, count) -> merged.merge(item, count, Math::max));
        return copy(owner, epoch, waitingTokens, ended, listed, ImmutableMap.copyOf(merged));
    }

    private JobRecord copy(
            JobOwner newOwner,
            long newEpoch,
            long newWaitingTokens,
            boolean newEnded,
            ImmutableList<ListedItem> newListed,
            ImmutableMap<Integer, Integer> newFailures) {
        return new JobRecord(
                id,
                route,
                host,
                path,
                workspace,
                newOwner,
                newEpoch,
                itemCount,
                newWaitingTokens,
                acceptedAtMillis,
                newEnded,
                newListed,
                newFailures);
    }
}
