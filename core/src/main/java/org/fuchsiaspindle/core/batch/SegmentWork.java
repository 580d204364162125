package org.fuchsiaspindle.core.batch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fuchsiaspindle.core.error.ResultCode;

/**
 * The items of a segment that this process holds, from the claim of the segment to the commit of
 * its results. Not thread-safe.
 *
 * <p>Every item gets exactly one record: its first result, or an error. Items that were running
 * when a target was lost become suspects. They run in groups that are halved at each further loss,
 * so that an item that crashes targets is isolated and the others complete. Suspects are not
 * dispatched again until their losses have been written to the segment row.
 */
public final class SegmentWork {

    /**
     * Losses after which an item fails even if fewer distinct targets than the budget were lost.
     * Reached only if so few targets serve the model that an item must return to a target that was
     * lost with it.
     */
    private static final int MAX_ITEM_LOSSES = 2 * BatchLimits.LOSS_BUDGET;

    /**
     * Agent losses that make an item a suspect; a single loss may be caused by a failure of the
     * instance.
     */
    private static final int MIN_SUSPECT_AGENT_LOSSES = 2;

    /** Target errors after which an item fails if fewer targets than the budget serve the model. */
    private static final int MAX_FAILURES = 8;

    private static final long BASE_RETRY_DELAY_NANOS = 1_000_000_000L;
    private static final int MAX_DELAY_DOUBLINGS = 6;

    private final String job;
    private final SegmentPlan.Segment segment;
    private final long epoch;
    private final List<InputItem> items;
    private final byte[][] records;
    private final int[] attempts;
    private final int[] agentLosses;
    private final long[] notBefore;
    private final String[] resumeText;
    private final int[] resumeTokens;
    private final Deque<Integer> ready = new ArrayDeque<>();
    private final List<Integer> delayed = new ArrayList<>();
    private final List<SuspectGroup> suspects = new ArrayList<>();
    private final Map<Integer, List<String>> losses = new HashMap<>();
    private final Map<Integer, List<String>> failures = new HashMap<>();
    private int open;
    private long unsavedBytes;
    private long inputBytes;
    private int suspectChanges;
    private int savedChanges;

    private SegmentWork(
            String job, SegmentPlan.Segment segment, long epoch, List<InputItem> items) {
        this.job = job;
        this.segment = segment;
        this.epoch = epoch;
        this.items = items;
        this.open = items.size();
        this.records = new byte[open][];
        this.attempts = new int[open];
        this.agentLosses = new int[open];
        this.notBefore = new long[open];
        this.resumeText = new String[open];
        this.resumeTokens = new int[open];
        Arrays.fill(resumeText, "");
        for (InputItem item : items) {
            inputBytes += item.body().length;
        }
    }

    /**
     * An item to send.
     *
     * @param index index in the segment
     * @param attempt number of this attempt, from 1
     * @param input the input line
     * @param resumeText output of an earlier attempt, to be continued
     * @param resumeTokens number of its tokens
     * @param alone true if no other suspect may run on the same target
     */
    public record Item(
            int index,
            int attempt,
            InputItem input,
            String resumeText,
            int resumeTokens,
            boolean alone) {}

    /**
     * Creates the work of a segment that was just claimed.
     *
     * @param job the job
     * @param segment the segment
     * @param items its input lines in order
     * @param record its row as claimed, with the suspects and losses that earlier holders recorded
     */
    public static SegmentWork of(
            String job, SegmentPlan.Segment segment, List<InputItem> items, SegmentRecord record) {
        checkArgument(
                items.size() == segment.items(),
                "segment %s has %s lines, expected %s",
                segment.number(),
                items.size(),
                segment.items());
        SegmentWork work =
                new SegmentWork(checkNotNull(job, "job"), segment, record.epoch(), items);
        work.restore(record);
        return work;
    }

    private void restore(SegmentRecord record) {
        boolean[] suspect = new boolean[items.size()];
        for (List<Integer> group : record.suspects()) {
            suspects.add(new SuspectGroup(group));
            group.forEach(index -> suspect[index] = true);
        }
        record.losses().forEach((index, targets) -> losses.put(index, new ArrayList<>(targets)));
        for (int index = 0; index < suspect.length; index++) {
            if (!suspect[index]) {
                ready.add(index);
            }
        }
    }

    /** Returns the job. */
    public String job() {
        return job;
    }

    /** Returns the segment. */
    public SegmentPlan.Segment segment() {
        return segment;
    }

    /** Returns the epoch of this process's lease. */
    public long epoch() {
        return epoch;
    }

    /** Returns the number of items that have no record yet. */
    public int openItems() {
        return open;
    }

    /** Returns true once every item has its record. */
    public boolean isComplete() {
        return open == 0;
    }

    /** Returns the size of the records, which are not stored yet, in bytes. */
    public long unsavedBytes() {
        return unsavedBytes;
    }

    /** Returns the size of the input bodies in bytes. */
    public long inputBytes() {
        return inputBytes;
    }

    /** Returns true if an item that is not a suspect is ready to be sent. */
    public boolean hasReady(long nowNanos) {
        releaseDelayed(nowNanos);
        return !ready.isEmpty();
    }

    /** Removes and returns the next ready item that is not a suspect, empty if there is none. */
    public Optional<Item> takeReady(long nowNanos) {
        releaseDelayed(nowNanos);
        Integer index = ready.poll();
        return index == null ? Optional.empty() : Optional.of(take(index, false));
    }

    /**
     * Returns the items of a group of suspects to run on one target.
     *
     * @param target the target
     * @param max largest number of items; a larger group is split
     * @param isOnlyTarget true if no other target serves the model, so that an item may return to a
     *     target that was lost with it
     * @param nowNanos monotonic time
     * @return the items, empty if no group may run there now
     */
    public List<Item> takeSuspects(String target, int max, boolean isOnlyTarget, long nowNanos) {
        if (hasUnsavedSuspects() || max < 1) {
            return List.of();
        }
        for (SuspectGroup group : suspects) {
            boolean wasLostHere =
                    group.items().size() == 1
                            && losses.getOrDefault(group.items().getFirst(), List.of())
                                    .contains(target);
            if (group.isWaiting(nowNanos) && (isOnlyTarget || !wasLostHere)) {
                splitTo(group, max);
                group.started();
                boolean alone = group.items().size() == 1;
                return group.items().stream().map(index -> take(index, alone)).toList();
            }
        }
        return List.of();
    }

    /** Returns true if a group of suspects is ready to be sent. */
    public boolean hasSuspects(long nowNanos) {
        return !hasUnsavedSuspects()
                && suspects.stream().anyMatch(group -> group.isWaiting(nowNanos));
    }

    private void splitTo(SuspectGroup group, int max) {
        if (group.items().size() > max) {
            List<Integer> excess = group.items().subList(max, group.items().size());
            suspects.add(new SuspectGroup(excess));
            excess.clear();
        }
    }

    private Item take(int index, boolean alone) {
        attempts[index]++;
        return new Item(
                index,
                attempts[index],
                items.get(index),
                resumeText[index],
                resumeTokens[index],
                alone);
    }

    /**
     * Records a target's response; only the first response to an item is kept.
     *
     * @return false if the item had its record already
     */
    public boolean complete(int index, ItemRecords.Response response, long nowMs) {
        byte[] line =
                ItemRecords.output(
                        job, segment.firstItem() + index, items.get(index), response, nowMs);
        if (line.length > BatchLimits.MAX_RECORD_BYTES) {
            return fail(index, ResultCode.TARGET_FAILED, "the response is too large to store", 0);
        }
        return setRecord(index, line);
    }

    /**
     * Ends an item with an error record.
     *
     * @param status HTTP status of the target's response, 0 if there was none
     * @return false if the item had its record already
     */
    public boolean fail(int index, ResultCode code, String message, int status) {
        return setRecord(
                index,
                ItemRecords.error(
                        job,
                        segment.firstItem() + index,
                        items.get(index).customId(),
                        code,
                        message,
                        status));
    }

    /** Ends all items that have no record. */
    public void failRemaining(ResultCode code) {
        for (int index = 0; index < records.length; index++) {
            fail(index, code, code.description(), 0);
        }
    }

    /**
     * Records that a target returned an error for an item, and retries the item later unless its
     * attempts are exhausted.
     *
     * @param target the target
     * @param status the HTTP status of the response
     * @param countsAsFailure false if the target only lacked capacity; the error then uses up none
     *     of the item's attempts
     */
    public void targetFailed(
            int index,
            String target,
            int status,
            String message,
            boolean countsAsFailure,
            long nowNanos) {
        if (records[index] != null) {
            return;
        }
        List<String> failedTargets = failures.computeIfAbsent(index, i -> new ArrayList<>());
        if (countsAsFailure) {
            failedTargets.add(target);
        }
        if (new HashSet<>(failedTargets).size() >= BatchLimits.LOSS_BUDGET
                || failedTargets.size() >= MAX_FAILURES) {
            fail(index, ResultCode.ITEM_ATTEMPTS_EXHAUSTED, message, status);
            return;
        }
        int doublings = Math.min(failedTargets.size(), MAX_DELAY_DOUBLINGS);
        long retryNanos = nowNanos + (BASE_RETRY_DELAY_NANOS << doublings);
        Optional<SuspectGroup> group = groupOf(index);
        if (group.isPresent()) {
            group.get().stopped(index);
            group.get().delayUntil(retryNanos);
            return;
        }
        notBefore[index] = retryNanos;
        delayed.add(index);
    }

    /** Queues an item that an agent did not finish, with its output so far, to be sent again. */
    public void requeue(int index, String text, int tokens) {
        if (records[index] != null) {
            return;
        }
        if (tokens > resumeTokens[index]) {
            resumeText[index] = text;
            resumeTokens[index] = tokens;
        }
        Optional<SuspectGroup> group = groupOf(index);
        if (group.isPresent()) {
            group.get().stopped(index);
        } else if (!ready.contains(index) && !delayed.contains(index)) {
            ready.addFirst(index);
        }
    }

    /**
     * Records that a target was lost while items ran on it, which makes the items suspects.
     *
     * @param lost indexes of the items that ran
     * @param target the target
     */
    public void targetLost(Collection<Integer> lost, String target) {
        List<Integer> affected = lost.stream().filter(index -> records[index] == null).toList();
        if (affected.isEmpty()) {
            return;
        }
        List<Integer> newSuspects = new ArrayList<>();
        Map<SuspectGroup, List<Integer>> lostByGroup = new HashMap<>();
        for (int index : affected) {
            groupOf(index)
                    .ifPresentOrElse(
                            group ->
                                    lostByGroup
                                            .computeIfAbsent(group, g -> new ArrayList<>())
                                            .add(index),
                            () -> newSuspects.add(index));
        }
        if (!newSuspects.isEmpty()) {
            ready.removeAll(newSuspects);
            delayed.removeAll(newSuspects);
            suspects.addAll(SuspectGroup.halves(newSuspects));
        }
        lostByGroup.forEach((group, indexes) -> groupLost(group, indexes, target));
        suspectChanges++;
    }

    private void groupLost(SuspectGroup group, List<Integer> lost, String target) {
        if (group.items().size() > 1) {
            lost.forEach(group::finished);
            suspects.addAll(SuspectGroup.halves(lost));
            suspects.removeIf(g -> g.items().isEmpty());
            return;
        }
        int index = lost.getFirst();
        group.stopped(index);
        List<String> targets = losses.computeIfAbsent(index, i -> new ArrayList<>());
        targets.add(target);
        int distinctTargets = new HashSet<>(targets).size();
        if (distinctTargets >= BatchLimits.LOSS_BUDGET || targets.size() >= MAX_ITEM_LOSSES) {
            fail(
                    index,
                    ResultCode.ITEM_ATTEMPTS_EXHAUSTED,
                    "the item was running alone when " + targets.size() + " targets were lost",
                    0);
        }
    }

    /**
     * Records that the agent of some items was lost; only a second loss makes an item a suspect.
     */
    public void agentLost(Collection<Integer> lost, String target) {
        List<Integer> repeated = new ArrayList<>();
        for (int index : lost) {
            if (records[index] == null) {
                agentLosses[index]++;
                if (agentLosses[index] >= MIN_SUSPECT_AGENT_LOSSES) {
                    repeated.add(index);
                } else {
                    requeue(index, "", 0);
                }
            }
        }
        targetLost(repeated, target);
    }

    /**
     * Returns true if suspects and losses must be written to the row before suspects are
     * dispatched.
     */
    public boolean hasUnsavedSuspects() {
        return savedChanges < suspectChanges;
    }

    /** Returns the number of changes of the suspects or their losses so far. */
    public int suspectChanges() {
        return suspectChanges;
    }

    /** Returns the segment row with the current suspects and losses. */
    public SegmentRecord withSuspects(SegmentRecord row, String nonce) {
        return row.withSuspects(
                suspects.stream().map(group -> List.copyOf(group.items())).toList(), losses, nonce);
    }

    /**
     * Records that a row with the suspects was written.
     *
     * @param changes {@link #suspectChanges} at the time at which the row was created
     */
    public void suspectsSaved(int changes) {
        savedChanges = Math.max(savedChanges, changes);
    }

    /** Returns all records in the order of the items; the segment must be complete. */
    public List<byte[]> records() {
        checkArgument(isComplete(), "segment has %s open items", open);
        return List.of(records);
    }

    /** Returns the counts and sizes of the records; the segment must be complete. */
    public JobRecord.Outcome outcome() {
        JobRecord.Outcome outcome = JobRecord.Outcome.NONE;
        for (byte[] line : records()) {
            int bytes = line.length - 1;
            outcome =
                    outcome.plus(
                            line[0] == ItemRecords.OUTPUT
                                    ? new JobRecord.Outcome(1, 0, bytes, 0)
                                    : new JobRecord.Outcome(0, 1, 0, bytes));
        }
        return outcome;
    }

    private boolean setRecord(int index, byte[] line) {
        if (records[index] != null) {
            return false;
        }
        records[index] = line;
        unsavedBytes += line.length;
        open--;
        ready.remove(index);
        delayed.remove((Integer) index);
        for (SuspectGroup group : suspects) {
            group.finished(index);
        }
        suspects.removeIf(group -> group.items().isEmpty());
        return true;
    }

    private Optional<SuspectGroup> groupOf(int index) {
        return suspects.stream().filter(group -> group.items().contains(index)).findFirst();
    }

    private void releaseDelayed(long nowNanos) {
        delayed.removeIf(
                index -> {
                    boolean due = nowNanos - notBefore[index] >= 0;
                    if (due) {
                        ready.add(index);
                    }
                    return due;
                });
    }
}
