package org.fuchsiaspindle.testbed.emulator;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.fuchsiaspindle.platform.store.BlockingStore;
import org.fuchsiaspindle.platform.store.CommitResult;
import org.fuchsiaspindle.platform.store.FeedResult;
import org.fuchsiaspindle.platform.store.RowKey;
import org.fuchsiaspindle.platform.store.RowTransaction;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Guards against a late second answer of the store that is taken for the answer to another call.
 */
@Tag("known-red")
final class LateStoreAnswerTest {

    private static final String STORE_IP = "127.0.1.11";
    private static final String TABLE = "t";
    private static final String REFUSED = "refused";

    /**
     * Guards against the rows of one table, or their absence, that are taken for those of another.
     */
    @Test
    void readOfRows_getsItsOwnRows() {
        try (BlockingHttpServer server = startStore();
                BlockingStore store = connect(server)) {
            assertThat(keys(store, "first")).containsExactly("first");
            assertThat(keys(store, "second")).containsExactly("second");
        }
    }

    /** Guards against a transaction that is taken as applied although the store refused it. */
    @Test
    void refusedTransaction_isNotTakenAsApplied() {
        try (BlockingHttpServer server = startStore();
                BlockingStore store = connect(server)) {
            assertThat(commit(store, "first")).isInstanceOf(CommitResult.Committed.class);
            assertThat(commit(store, REFUSED)).isInstanceOf(CommitResult.Conflict.class);
        }
    }

    /** Guards against a change feed that skips the changes up to the version of another answer. */
    @Test
    void changeFeed_getsItsOwnVersion() {
        try (BlockingHttpServer server = startStore();
                BlockingStore store = connect(server)) {
            keys(store, "first");
            FeedResult changes = store.call(client -> client.changes("second", 0, Duration.ZERO));
            assertThat(((FeedResult.Changes) changes).rows())
                    .extracting(row -> row.key().key())
                    .containsExactly("second");
        }
    }

    /** Guards against an object whose content is that of another one. */
    @Test
    void readOfObject_getsItsOwnContent() {
        try (BlockingHttpServer server = startStore();
                BlockingStore store = connect(server)) {
            assertThat(object(store, "first")).contains("/blob-get/first");
            assertThat(object(store, "second")).contains("/blob-get/second");
        }
    }

    private static List<String> keys(BlockingStore store, String table) {
        return store.call(client -> client.rows(table, "", "", "")).rows().stream()
                .map(row -> row.key().key())
                .toList();
    }

    private static CommitResult commit(BlockingStore store, String key) {
        RowTransaction transaction =
                RowTransaction.inPartition("")
                        .write(new RowKey(TABLE, "", key), key.getBytes(UTF_8))
                        .build();
        return store.call(client -> client.commit(transaction));
    }

    private static Optional<String> object(BlockingStore store, String name) {
        return store.call(client -> client.object(name)).map(content -> new String(content, UTF_8));
    }

    private static BlockingStore connect(BlockingHttpServer server) {
        return BlockingStore.connect(HostAndPort.fromParts(STORE_IP, server.port()));
    }

    private static BlockingHttpServer startStore() {
        return BlockingHttpServer.start(
                STORE_IP, 0, new LateAnswerHandler(LateStoreAnswerTest::answer));
    }

    private static String answer(BlockingHttpServer.Request request) {
        return switch (request.path()) {
            case "/rows-get", "/rows-feed" ->
                    LateAnswerHandler.answer(200, rows(request.parameter("table")));
            case "/rows-tx" ->
                    new String(request.body(), UTF_8).contains(REFUSED)
                            ? LateAnswerHandler.answer(412, rows(TABLE))
                            : LateAnswerHandler.answer(200, "{\"ver\":5}");
            default -> LateAnswerHandler.answer(200, request.path());
        };
    }

    /** Returns the only row of a table, whose key is the name of the table. */
    private static String rows(String table) {
        String row = "{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\",\"value\":\"\",\"ver\":5}";
        return "{\"rows\":[" + row.formatted(table, table) + "],\"ver\":5}";
    }
}
