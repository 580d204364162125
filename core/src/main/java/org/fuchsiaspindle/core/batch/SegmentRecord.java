package org.fuchsiaspindle.core.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.Map;

/**
 * The table row of a segment, with its holder or, once it is done, the names of its result objects.
 *
 * @param holder key of the holder's session row, empty once the segment is done
 * @param epoch number of holders so far
 * @param nonce random value that identifies the write
 * @param suspects groups of items that may crash targets
 * @param losses targets that were lost while each item ran alone
 * @param result names of the result objects in order, empty until the segment is done
 * @param outcome counts and sizes of the results
 */
public record SegmentRecord(
        String holder,
        long epoch,
        String nonce,
        List<List<Integer>> suspects,
        Map<Integer, List<String>> losses,
        List<String> result,
        JobRecord.Outcome outcome) {

    /** Validates the components. */
    public SegmentRecord {
        checkNotNull(holder, "holder");
        checkNotNull(nonce, "nonce");
        suspects = List.copyOf(suspects);
        losses = Map.copyOf(losses);
        result = List.copyOf(result);
        checkNotNull(outcome, "outcome");
    }

    /** Returns the row of a segment that is claimed for the first time. */
    public static SegmentRecord claimed(String holder, String nonce) {
        return new SegmentRecord(
                holder, 1, nonce, List.of(), Map.of(), List.of(), JobRecord.Outcome.NONE);
    }

    /** Returns true once the results are stored; the row does not change afterwards. */
    public boolean isDone() {
        return !result.isEmpty();
    }

    /** Returns the row after another holder has taken the segment. */
    public SegmentRecord takenOver(String newHolder, String newNonce) {
        return new SegmentRecord(
                newHolder, epoch + 1, newNonce, suspects, losses, List.of(), outcome);
    }

    /** Returns the row with new suspects and losses. */
    public SegmentRecord withSuspects(
            List<List<Integer>> newSuspects,
            Map<Integer, List<String>> newLosses,
            String newNonce) {
        return new SegmentRecord(
                holder, epoch, newNonce, newSuspects, newLosses, List.of(), outcome);
    }

    /** Returns the row with the results. */
    public SegmentRecord done(List<String> objects, JobRecord.Outcome newOutcome, String newNonce) {
        return new SegmentRecord("", epoch, newNonce, List.of(), Map.of(), objects, newOutcome);
    }
}
