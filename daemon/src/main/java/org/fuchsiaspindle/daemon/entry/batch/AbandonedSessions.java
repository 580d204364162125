package org.fuchsiaspindle.daemon.entry.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fuchsiaspindle.core.batch.BatchKeys;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.platform.table.ConditionFailedException;
import org.fuchsiaspindle.platform.table.Operation.Delete;
import org.fuchsiaspindle.platform.table.Row;
import org.fuchsiaspindle.platform.table.TableService;
import org.fuchsiaspindle.platform.table.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Deletes the session rows of entries that failed while they held no segments. Scans do not find
 * these rows, because no segment names them. Not thread-safe; calls block.
 */
final class AbandonedSessions {

    private static final Logger LOG = LoggerFactory.getLogger(AbandonedSessions.class);
    private static final int PAGE_SIZE = 1000;

    private final TableService table;
    private Map<String, Long> lastVersions = Map.of();

    AbandonedSessions(TableService table) {
        this.table = checkNotNull(table, "table");
    }

    /**
     * Deletes the sessions that have not changed since the last call, which is many lease durations
     * ago. After a failed read the comparison starts anew, because the table may also have been
     * unavailable to the holders, so that they could not renew their sessions.
     */
    void deleteUnchanged() {
        Map<String, Long> previousVersions = lastVersions;
        lastVersions = Map.of();
        List<Row> sessions = table.readPrefix(BatchKeys.HOLDERS, "", PAGE_SIZE);
        Map<String, Long> versions = new HashMap<>();
        for (Row session : sessions) {
            if (previousVersions.getOrDefault(session.key(), 0L) == session.version()) {
                delete(session);
            } else {
                versions.put(session.key(), session.version());
            }
        }
        lastVersions = versions;
    }

    private void delete(Row session) {
        try {
            table.commit(Transaction.of(new Delete(session.key(), session.version())));
            LOG.info("batch: abandoned session deleted session={}", session.key());
        } catch (ConditionFailedException e) {
            LOG.debug("batch: session was renewed session={}", session.key(), e);
        } catch (FuchsiaspindleException e) {
            LOG.debug("batch: session may not have been deleted session={}", session.key(), e);
        }
    }
}
