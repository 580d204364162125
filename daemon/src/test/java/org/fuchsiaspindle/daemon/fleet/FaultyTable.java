package org.fuchsiaspindle.daemon.fleet;

import java.util.List;
import java.util.Optional;
import org.fuchsiaspindle.platform.memory.InMemoryTable;
import org.fuchsiaspindle.platform.table.ConditionFailedException;
import org.fuchsiaspindle.platform.table.OutcomeUnknownException;
import org.fuchsiaspindle.platform.table.Row;
import org.fuchsiaspindle.platform.table.TableService;
import org.fuchsiaspindle.platform.table.TableUnavailableException;
import org.fuchsiaspindle.platform.table.Transaction;

/** A table that can be down, lose the request or the response of a commit, or delay a commit. */
public final class FaultyTable implements TableService {

    /** What happens to the next commit. */
    public enum CommitFault {
        NONE,
        REQUEST_LOST,
        RESPONSE_LOST,
        /** The commit takes effect during a later read, after its call has failed. */
        DELAYED
    }

    private final InMemoryTable table = InMemoryTable.create();
    private CommitFault nextCommit = CommitFault.NONE;
    private Runnable beforeNextCommit = () -> {};
    private Transaction delayed;
    private int readsUntilDelayedCommit;
    private boolean down;
    private boolean downAfterCommit;

    public void faultNextCommit(CommitFault fault) {
        nextCommit = fault;
    }

    /** Makes the next commit fail and take effect only after the given number of reads. */
    public void delayNextCommitByReads(int reads) {
        nextCommit = CommitFault.DELAYED;
        readsUntilDelayedCommit = reads;
    }

    public void beforeNextCommit(Runnable action) {
        beforeNextCommit = action;
    }

    public void setDown(boolean value) {
        down = value;
    }

    public void setDownAfterNextCommit() {
        downAfterCommit = true;
    }

    @Override
    public Optional<Row> read(String key) {
        beforeRead();
        return table.read(key);
    }

    @Override
    public List<Row> readPrefix(String prefix, String afterKey, int limit) {
        beforeRead();
        return table.readPrefix(prefix, afterKey, limit);
    }

    @Override
    public long commit(Transaction transaction) {
        checkUp();
        Runnable action = beforeNextCommit;
        beforeNextCommit = () -> {};
        action.run();
        CommitFault fault = nextCommit;
        nextCommit = CommitFault.NONE;
        down = downAfterCommit;
        downAfterCommit = false;
        return switch (fault) {
            case NONE -> table.commit(transaction);
            case REQUEST_LOST -> throw new OutcomeUnknownException("request lost", null);
            case RESPONSE_LOST -> {
                table.commit(transaction);
                throw new OutcomeUnknownException("response lost", null);
            }
            case DELAYED -> {
                delayed = transaction;
                throw new OutcomeUnknownException("response lost, commit delayed", null);
            }
            default -> throw new IllegalStateException("unknown fault: " + fault);
        };
    }

    private void beforeRead() {
        checkUp();
        if (delayed != null && readsUntilDelayedCommit-- == 0) {
            Transaction transaction = delayed;
            delayed = null;
            try {
                table.commit(transaction);
            } catch (ConditionFailedException e) {
                // A retry was committed first; the caller no longer waits for this response.
                return;
            }
        }
    }

    private void checkUp() {
        if (down) {
            throw new TableUnavailableException("down", null);
        }
    }
}
