package org.fuchsiaspindle.daemon.entry.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;
import java.util.function.Predicate;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.platform.table.ConditionFailedException;
import org.fuchsiaspindle.platform.table.OutcomeUnknownException;
import org.fuchsiaspindle.platform.table.TableService;
import org.fuchsiaspindle.platform.table.TableUnavailableException;
import org.fuchsiaspindle.platform.table.Transaction;

/**
 * Commits transactions and determines the outcome if the response was lost. Thread-safe; calls
 * block.
 *
 * <p>After {@code WRITE_OUTCOME_UNKNOWN} a caller may commit the same transaction again: it takes
 * effect at most once, because its conditions name row versions.
 */
final class RowWriter {

    private static final int MAX_ATTEMPTS = 3;

    private final TableService table;

    RowWriter(TableService table) {
        this.table = checkNotNull(table, "table");
    }

    /**
     * Commits a transaction.
     *
     * @param transaction the transaction
     * @param rowKey key of a row that the transaction writes; it is read to determine the outcome
     * @param isOwnWrite tests whether the value of that row was written by the transaction
     * @return the version of the rows written, empty if a condition did not hold
     * @throws FuchsiaspindleException with {@code TABLE_UNAVAILABLE} if it had no effect, with
     *     {@code WRITE_OUTCOME_UNKNOWN} if the outcome could not be determined
     */
    OptionalLong commit(Transaction transaction, String rowKey, Predicate<byte[]> isOwnWrite) {
        boolean responseLost = false;
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            try {
                return OptionalLong.of(table.commit(transaction));
            } catch (ConditionFailedException e) {
                return ownVersion(rowKey, isOwnWrite);
            } catch (TableUnavailableException e) {
                throw responseLost ? unknown(e) : e;
            } catch (OutcomeUnknownException e) {
                responseLost = true;
            }
            OptionalLong written = ownVersion(rowKey, isOwnWrite);
            if (written.isPresent()) {
                return written;
            }
        }
        throw unknown(null);
    }

    /** Returns the version of the row if the transaction wrote it. */
    private OptionalLong ownVersion(String rowKey, Predicate<byte[]> isOwnWrite) {
        try {
            return table.read(rowKey)
                    .filter(row -> isOwnWrite.test(row.value()))
                    .map(row -> OptionalLong.of(row.version()))
                    .orElse(OptionalLong.empty());
        } catch (TableUnavailableException e) {
            throw unknown(e);
        }
    }

    private static FuchsiaspindleException unknown(Throwable cause) {
        return new FuchsiaspindleException(
                ResultCode.WRITE_OUTCOME_UNKNOWN, "the outcome of a table write is unknown", cause);
    }
}
