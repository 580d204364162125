package org.fuchsiaspindle.testbed.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsiaspindle.testbed.emulator.BlockingHttpServer.Connection;
import org.fuchsiaspindle.testbed.emulator.BlockingHttpServer.Request;

/**
 * The platform's store in memory: rows with one version counter, conditional transactions, feeds
 * and objects.
 *
 * <p>Thread-safe. It can fall silent, refuse everything, lose the answers of writes and forget its
 * history.
 */
public final class StoreEmulator implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_PAGE = 500;

    /** What the store does with calls. */
    public enum Mood {
        /** Serves them. */
        SERVING,
        /** Answers nothing. */
        SILENT,
        /** Refuses them with status 503. */
        BUSY,
        /** Resets their connections. */
        RESETTING,
        /** Applies writes and resets the connection in place of an answer. */
        LOSING_ANSWERS
    }

    private record Key(String table, String partition, String key) implements Comparable<Key> {
        @Override
        public int compareTo(Key other) {
            int byTable = table.compareTo(other.table);
            int byPartition = partition.compareTo(other.partition);
            return byTable != 0
                    ? byTable
                    : byPartition != 0 ? byPartition : key.compareTo(other.key);
        }
    }

    private record Value(String base64, long version, boolean deleted) {}

    private final BlockingHttpServer server;
    private final TreeMap<Key, Value> rows = new TreeMap<>();
    private final Map<String, byte[]> objects = new HashMap<>();
    private final long startNanos = System.nanoTime();
    private final AtomicInteger calls = new AtomicInteger();
    private volatile Mood mood = Mood.SERVING;
    private long version;
    private long forgottenUpTo;

    private StoreEmulator(String ip) {
        server = BlockingHttpServer.start(ip, 0, this::handle);
    }

    /** Starts a store on an address of this machine. */
    public static StoreEmulator start(String ip) {
        return new StoreEmulator(ip);
    }

    /** Returns the port of the store. */
    public int port() {
        return server.port();
    }

    /** Returns the number of calls so far. */
    public int calls() {
        return calls.get();
    }

    /** Sets what the store does with calls from now on. */
    public void setMood(Mood newMood) {
        mood = newMood;
        if (newMood == Mood.RESETTING) {
            server.resetConnections();
        }
    }

    /** Makes feeds answer that the history is gone, until they start from now. */
    public synchronized void forgetHistory() {
        forgottenUpTo = version;
        notifyAll();
    }

    /** Writes a row as the operator or a target does. */
    public synchronized void put(String table, String key, byte[] value) {
        version++;
        rows.put(
                new Key(table, "", key),
                new Value(java.util.Base64.getEncoder().encodeToString(value), version, false));
        notifyAll();
    }

    /** Removes a row as a target does. */
    public synchronized void remove(String table, String key) {
        version++;
        rows.put(new Key(table, "", key), new Value("", version, true));
        notifyAll();
    }

    /** Returns how many rows a table has. */
    public synchronized long count(String table) {
        return rows.entrySet().stream()
                .filter(row -> row.getKey().table().equals(table) && !row.getValue().deleted())
                .count();
    }

    @Override
    public void close() {
        server.close();
    }

    private boolean handle(Request request, Connection connection) throws IOException {
        calls.incrementAndGet();
        switch (mood) {
            case SILENT -> {
                waitForService();
                return false;
            }
            case BUSY -> {
                connection.answer(503, "", new byte[0]);
                return true;
            }
            case RESETTING -> {
                connection.resetOnClose();
                return false;
            }
            default -> {
                return serve(request, connection);
            }
        }
    }

    private void waitForService() throws IOException {
        try {
            while (mood == Mood.SILENT) {
                Thread.sleep(5);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IOException(interrupted);
        }
    }

    private boolean serve(Request request, Connection connection) throws IOException {
        String path = request.path();
        if (path.startsWith("/blob-put/")) {
            return putObject(request, connection);
        }
        if (path.startsWith("/blob-get/")) {
            return getObject(request, connection);
        }
        switch (path) {
            case "/rows-tx" -> {
                ObjectNode answer = JSON.createObjectNode();
                int status = transact(JSON.readTree(request.body()), answer);
                return answerWrite(connection, status, answer);
            }
            case "/rows-get" -> connection.answer(200, "", JSON.writeValueAsBytes(get(request)));
            case "/rows-parts" ->
                    connection.answer(200, "", JSON.writeValueAsBytes(partitions(request)));
            case "/rows-feed" -> feed(request, connection);
            default -> connection.answer(404, "", new byte[0]);
        }
        return true;
    }

    private boolean answerWrite(Connection connection, int status, ObjectNode answer)
            throws IOException {
        if (mood == Mood.LOSING_ANSWERS) {
            connection.resetOnClose();
            return false;
        }
        connection.answer(status, "", JSON.writeValueAsBytes(answer));
        return true;
    }

    private synchronized boolean putObject(Request request, Connection connection)
            throws IOException {
        String name = request.path().substring("/blob-put/".length());
        boolean exists = objects.containsKey(name);
        if (!exists || !request.header("If-None-Match").equals("*")) {
            objects.put(name, request.body());
        }
        connection.answer(exists ? 412 : 200, "", new byte[0]);
        return true;
    }

    private synchronized boolean getObject(Request request, Connection connection)
            throws IOException {
        byte[] object = objects.get(request.path().substring("/blob-get/".length()));
        connection.answer(object == null ? 404 : 200, "", object == null ? new byte[0] : object);
        return true;
    }

    private synchronized int transact(JsonNode transaction, ObjectNode answer) {
        ArrayNode conflicts = JSON.createArrayNode();
        boolean holds = true;
        for (JsonNode condition : transaction.path("expectRev")) {
            Key key = key(condition);
            Value value = rows.get(key);
            boolean present = value != null && !value.deleted();
            holds &= (present ? value.version() : 0) == condition.path("ver").asLong();
            if (present) {
                conflicts.add(row(key, value));
            }
        }
        answer.put("nowMs", nowMillis());
        if (!holds) {
            answer.set("rows", conflicts);
            answer.put("ver", version);
            return 412;
        }
        version++;
        for (JsonNode write : transaction.path("writes")) {
            rows.put(key(write), new Value(write.path("value").asText(), version, false));
        }
        for (JsonNode removal : transaction.path("remove")) {
            rows.put(key(removal), new Value("", version, true));
        }
        answer.put("ver", version);
        notifyAll();
        return 200;
    }

    private synchronized ObjectNode get(Request request) {
        String from = request.parameter("from");
        String to = request.parameter("target");
        ObjectNode answer = JSON.createObjectNode();
        ArrayNode page = answer.putArray("rows");
        boolean more = false;
        for (Map.Entry<Key, Value> row : rows.entrySet()) {
            Key key = row.getKey();
            boolean inRange =
                    key.table().equals(request.parameter("table"))
                            && key.partition().equals(request.parameter("part"))
                            && key.key().compareTo(from) >= 0
                            && (to.isEmpty() || key.key().compareTo(to) < 0);
            if (inRange && !row.getValue().deleted()) {
                more = page.size() >= MAX_PAGE;
                if (!more) {
                    page.add(row(key, row.getValue()));
                }
            }
        }
        return answer.put("hasMore", more).put("ver", version).put("nowMs", nowMillis());
    }

    private synchronized ObjectNode partitions(Request request) {
        TreeSet<String> names = new TreeSet<>();
        rows.forEach(
                (key, value) -> {
                    if (key.table().equals(request.parameter("table")) && !value.deleted()) {
                        names.add(key.partition());
                    }
                });
        ObjectNode answer = JSON.createObjectNode();
        names.forEach(answer.putArray("parts")::add);
        return answer.put("hasMore", false);
    }

    private void feed(Request request, Connection connection) throws IOException {
        long after = Long.parseLong(request.parameter("after"));
        long until = System.nanoTime() + Long.parseLong(request.parameter("waitMs")) * 1_000_000L;
        ObjectNode answer = JSON.createObjectNode();
        int status = awaitChanges(request.parameter("table"), after, until, answer);
        if (mood == Mood.SILENT) {
            waitForService();
        }
        connection.answer(status, "", JSON.writeValueAsBytes(answer));
    }

    private synchronized int awaitChanges(String table, long after, long until, ObjectNode answer)
            throws IOException {
        while (true) {
            if (after < forgottenUpTo) {
                return 410;
            }
            List<Map.Entry<Key, Value>> changes = new ArrayList<>();
            rows.entrySet().stream()
                    .filter(row -> row.getKey().table().equals(table))
                    .filter(row -> row.getValue().version() > after)
                    .forEach(changes::add);
            long left = until - System.nanoTime();
            if (!changes.isEmpty() || left <= 0) {
                changes.sort(java.util.Comparator.comparing(row -> row.getValue().version()));
                ArrayNode page = answer.putArray("rows");
                changes.forEach(row -> page.add(row(row.getKey(), row.getValue())));
                answer.put("ver", version).put("nowMs", nowMillis());
                return 200;
            }
            try {
                wait(left / 1_000_000L + 1);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                throw new IOException(interrupted);
            }
        }
    }

    private long nowMillis() {
        return (System.nanoTime() - startNanos) / 1_000_000L;
    }

    private static Key key(JsonNode node) {
        return new Key(
                node.path("table").asText(), node.path("part").asText(), node.path("key").asText());
    }

    private static ObjectNode row(Key key, Value value) {
        ObjectNode node =
                JSON.createObjectNode()
                        .put("table", key.table())
                        .put("part", key.partition())
                        .put("key", key.key())
                        .put("ver", value.version());
        return value.deleted() ? node.put("deleted", true) : node.put("value", value.base64());
    }
}
