package org.fuchsiaspindle.gateway.watch;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.fuchsiaspindle.core.job.OwnerLiveness.Renewal;
import org.fuchsiaspindle.platform.store.CommitResult;
import org.fuchsiaspindle.platform.store.RowKey;
import org.fuchsiaspindle.platform.store.RowPage;
import org.fuchsiaspindle.platform.store.RowTransaction;
import org.fuchsiaspindle.platform.store.StoreClient;
import org.fuchsiaspindle.platform.store.StoredRow;

/**
 * The rows in the store that show which gateways live: each renews its own.
 *
 * <p>Confined to its event loop, but listeners may be added by any thread.
 */
public final class MemberTable {

    private static final String TABLE = "member";

    private final EventLoop loop;
    private final StoreClient store;
    private final RowKey ownKey;
    private final String incarnation;
    private final List<Consumer<Map<String, Renewal>>> listeners = new CopyOnWriteArrayList<>();
    private boolean reading;
    private long lastReadNanos = System.nanoTime();

    private MemberTable(EventLoop loop, StoreClient store, String ip, String incarnation) {
        this.loop = loop;
        this.store = store;
        this.ownKey = new RowKey(TABLE, "", ip);
        this.incarnation = incarnation;
    }

    /**
     * Creates a table that has read and written nothing.
     *
     * @param loop its event loop, not null
     * @param store the client of the platform's store, not null
     * @param ip the address of this gateway, not null
     * @param incarnation identifies this start of the process, not null
     */
    public static MemberTable create(
            EventLoop loop, StoreClient store, String ip, String incarnation) {
        return new MemberTable(
                checkNotNull(loop, "loop"),
                checkNotNull(store, "store"),
                checkNotNull(ip, "ip"),
                checkNotNull(incarnation, "incarnation"));
    }

    /** Adds a listener that receives all rows by address after each read. */
    public void addListener(Consumer<Map<String, Renewal>> listener) {
        listeners.add(checkNotNull(listener, "listener"));
    }

    /** Writes the row of this gateway anew. */
    public CompletableFuture<CommitResult> renew() {
        return store.commit(
                RowTransaction.inPartition("")
                        .write(ownKey, incarnation.getBytes(StandardCharsets.UTF_8))
                        .build());
    }

    /** Removes the row of this gateway. */
    public CompletableFuture<CommitResult> remove() {
        return store.commit(RowTransaction.inPartition("").remove(ownKey).build());
    }

    /** Reads all rows, unless a read is under way; the listeners are told if it succeeds. */
    public void read() {
        if (reading) {
            return;
        }
        reading = true;
        lastReadNanos = System.nanoTime();
        store.allRows(TABLE, "", "", "")
                .whenCompleteAsync(
                        (page, failure) -> {
                            reading = false;
                            if (failure == null) {
                                Map<String, Renewal> rows = decode(page);
                                listeners.forEach(listener -> listener.accept(rows));
                            }
                        },
                        loop);
    }

    private static Map<String, Renewal> decode(RowPage page) {
        Map<String, Renewal> rows = new HashMap<>();
        for (StoredRow row : page.rows()) {
            String incarnation = new String(row.value(), StandardCharsets.UTF_8);
            rows.put(row.key().key(), new Renewal(incarnation, row.version()));
        }
        return rows;
    }

    /** Returns when the last read began, in monotonic nanoseconds. */
    public long lastReadNanos() {
        return lastReadNanos;
    }
}
