package org.fuchsiaspindle.testbed.emulator;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.fuchsiaspindle.testbed.emulator.BlockingHttpServer.Connection;
import org.fuchsiaspindle.testbed.emulator.BlockingHttpServer.Request;

/**
 * An in-memory emulation of the platform's store: versioned rows, conditional transactions, change
 * feeds and objects.
 *
 * <p>All rows share one version counter. The emulator can stop responding, reject all calls, drop
 * the responses to writes and discard the change history of its feeds. Thread-safe.
 */
public final class StoreEmulator implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_PAGE_ROWS = 500;
    private static final int MAX_ENTRIES = 100;
    private static final int MAX_KEY_BYTES = 200;
    private static final int MAX_ROW_BYTES = 65_536;

    /** How the store responds to calls. */
    public enum FaultMode {
        /** Serves all calls. */
        SERVING,
        /** Does not respond until the fault mode changes. */
        SILENT,
        /** Rejects calls with status 503. */
        BUSY,
        /** Resets the connections of calls. */
        RESETTING,
        /** Applies writes and resets their connections instead of responding. */
        DROPPING_RESPONSES
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

    private final String ip;
    private final BlockingHttpServer server;
    private final TreeMap<Key, Value> rows = new TreeMap<>();
    private final Map<String, byte[]> objects = new HashMap<>();
    private final long startNanos = System.nanoTime();
    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicLong reads = new AtomicLong();
    private final Map<String, AtomicLong> tableReads = new ConcurrentHashMap<>();
    private final AtomicLong writes = new AtomicLong();
    private final AtomicInteger responsesToDrop = new AtomicInteger();
    private final AtomicReference<Duration> nextResponseDelay =
            new AtomicReference<>(Duration.ZERO);
    private volatile FaultMode faultMode = FaultMode.SERVING;
    private volatile String tableDown = "";
    private long version;
    private long discardedUpTo;

    private StoreEmulator(String ip) {
        this.ip = ip;
        server = BlockingHttpServer.start(ip, 0, this::handle);
    }

    /** Starts a store on a free port of a loopback address. */
    public static StoreEmulator start(String ip) {
        return new StoreEmulator(ip);
    }

    /** Returns the port of the store. */
    public int port() {
        return server.port();
    }

    /** Returns the address of the store. */
    public HostAndPort address() {
        return HostAndPort.fromParts(ip, server.port());
    }

    /** Returns the number of reads that were served. */
    public long reads() {
        return reads.get();
    }

    /** Returns the number of row reads of a table, excluding reads of its feed. */
    public long readsOf(String table) {
        AtomicLong count = tableReads.get(table);
        return count == null ? 0 : count.get();
    }

    /** Returns the number of writes that were served, including those whose condition failed. */
    public long writes() {
        return writes.get();
    }

    /** Applies the next {@code count} writes and resets their connections instead of responding. */
    public void dropNextResponses(int count) {
        checkArgument(count >= 0, "negative count: %s", count);
        responsesToDrop.set(count);
    }

    /** Applies the next transaction at once and delays its response. */
    public void delayNextResponse(Duration delay) {
        nextResponseDelay.set(checkNotNull(delay, "delay"));
    }

    private static void pause(Duration time) {
        try {
            Thread.sleep(time);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the number of calls so far. */
    public int calls() {
        return calls.get();
    }

    /** Sets how the store responds to calls from now on. */
    public void setFaultMode(FaultMode newFaultMode) {
        faultMode = newFaultMode;
        if (newFaultMode == FaultMode.SERVING) {
            responsesToDrop.set(0);
        }
        if (newFaultMode == FaultMode.RESETTING) {
            server.resetConnections();
        }
    }

    /** Rejects all calls that access a table; an empty name makes all tables available again. */
    public void setTableDown(String table) {
        tableDown = checkNotNull(table, "table");
    }

    /** Discards the change history: reading a feed from an earlier version returns status 410. */
    public synchronized void discardHistory() {
        discardedUpTo = version;
        notifyAll();
    }

    /** Writes a row unconditionally, as the platform's operator and targets do. */
    public void put(String table, String key, byte[] value) {
        put(table, "", key, value);
    }

    /** Writes a row of a partition unconditionally. */
    public synchronized void put(String table, String partition, String key, byte[] value) {
        version++;
        rows.put(
                new Key(table, partition, key),
                new Value(Base64.getEncoder().encodeToString(value), version, false));
        notifyAll();
    }

    /** Removes a row unconditionally, as targets do. */
    public synchronized void remove(String table, String key) {
        version++;
        rows.put(new Key(table, "", key), new Value("", version, true));
        notifyAll();
    }

    /** Returns the number of rows of a table. */
    public synchronized long count(String table) {
        return rows.entrySet().stream()
                .filter(row -> row.getKey().table().equals(table) && !row.getValue().deleted())
                .count();
    }

    /** Returns the values of the rows whose key starts with a prefix, by key. */
    public synchronized SortedMap<String, byte[]> values(String table, String prefix) {
        SortedMap<String, byte[]> values = new TreeMap<>();
        rows.forEach(
                (key, value) -> {
                    boolean matches = key.table().equals(table) && key.key().startsWith(prefix);
                    if (matches && !value.deleted()) {
                        values.put(key.key(), Base64.getDecoder().decode(value.base64()));
                    }
                });
        return values;
    }

    @Override
    public void close() {
        server.close();
    }

    private boolean handle(Request request, Connection connection) throws IOException {
        calls.incrementAndGet();
        switch (faultMode) {
            case SILENT -> {
                awaitResponsive();
                return false;
            }
            case BUSY -> {
                connection.respond(503, "", new byte[0]);
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

    private void awaitResponsive() throws IOException {
        try {
            while (faultMode == FaultMode.SILENT) {
                Thread.sleep(5);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IOException(interrupted);
        }
    }

    private boolean serve(Request request, Connection connection) throws IOException {
        (request.method().equals("GET") ? reads : writes).incrementAndGet();
        if (!tableDown.isEmpty() && concernsTable(request, tableDown)) {
            connection.respond(503, "", new byte[0]);
            return true;
        }
        String path = request.path();
        if (path.startsWith("/blob-put/")) {
            return putObject(request, connection);
        }
        if (path.startsWith("/blob-get/")) {
            return getObject(request, connection);
        }
        if (path.startsWith("/blob-drop/")) {
            return dropObject(request, connection);
        }
        switch (path) {
            case "/rows-tx" -> {
                ObjectNode response = JSON.createObjectNode();
                int status = transact(JSON.readTree(request.body()), response);
                pause(nextResponseDelay.getAndSet(Duration.ZERO));
                return respondToWrite(connection, status, response);
            }
            case "/rows-get" -> {
                String table = request.parameter("table");
                tableReads.computeIfAbsent(table, name -> new AtomicLong()).incrementAndGet();
                connection.respond(200, "", JSON.writeValueAsBytes(get(request)));
            }
            case "/rows-parts" ->
                    connection.respond(200, "", JSON.writeValueAsBytes(partitions(request)));
            case "/rows-feed" -> feed(request, connection);
            default -> connection.respond(404, "", new byte[0]);
        }
        return true;
    }

    private static boolean concernsTable(Request request, String table) throws IOException {
        if (!request.path().equals("/rows-tx")) {
            return request.parameter("table").equals(table);
        }
        JsonNode transaction = JSON.readTree(request.body());
        boolean concerns = false;
        for (String part : List.of("expectRev", "writes", "remove")) {
            for (JsonNode row : transaction.path(part)) {
                concerns |= row.path("table").asText().equals(table);
            }
        }
        return concerns;
    }

    private boolean respondToWrite(Connection connection, int status, ObjectNode response)
            throws IOException {
        return respondToWrite(connection, status, JSON.writeValueAsBytes(response));
    }

    private boolean respondToWrite(Connection connection, int status, byte[] response)
            throws IOException {
        if (faultMode == FaultMode.DROPPING_RESPONSES || consumeDroppedResponse()) {
            connection.resetOnClose();
            return false;
        }
        connection.respond(status, "", response);
        return true;
    }

    private boolean consumeDroppedResponse() {
        return responsesToDrop.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0;
    }

    private boolean putObject(Request request, Connection connection) throws IOException {
        String name = request.path().substring("/blob-put/".length());
        boolean exists;
        synchronized (this) {
            exists = objects.containsKey(name);
            if (!exists || !request.header("If-None-Match").equals("*")) {
                objects.put(name, request.body());
            }
        }
        return respondToWrite(connection, exists ? 412 : 200, new byte[0]);
    }

    private boolean dropObject(Request request, Connection connection) throws IOException {
        String name = request.path().substring("/blob-drop/".length());
        boolean existed;
        synchronized (this) {
            existed = objects.remove(name) != null;
        }
        return respondToWrite(connection, existed ? 200 : 404, new byte[0]);
    }

    private synchronized boolean getObject(Request request, Connection connection)
            throws IOException {
        byte[] object = objects.get(request.path().substring("/blob-get/".length()));
        connection.respond(object == null ? 404 : 200, "", object == null ? new byte[0] : object);
        return true;
    }

    private synchronized int transact(JsonNode transaction, ObjectNode response) {
        ArrayNode conflicts = JSON.createArrayNode();
        boolean conditionsHold = true;
        for (JsonNode condition : transaction.path("expectRev")) {
            Key key = key(condition);
            Value value = rows.get(key);
            boolean present = value != null && !value.deleted();
            conditionsHold &= (present ? value.version() : 0) == condition.path("ver").asLong();
            if (present) {
                conflicts.add(row(key, value));
            }
        }
        response.put("nowMs", nowMillis());
        if (exceedsLimits(transaction)) {
            return 400;
        }
        if (!conditionsHold) {
            response.set("rows", conflicts);
            response.put("ver", version);
            return 412;
        }
        version++;
        for (JsonNode write : transaction.path("writes")) {
            rows.put(key(write), new Value(write.path("value").asText(), version, false));
        }
        for (JsonNode removal : transaction.path("remove")) {
            rows.put(key(removal), new Value("", version, true));
        }
        response.put("ver", version);
        notifyAll();
        return 200;
    }

    /** Returns whether a transaction exceeds the size limits of the store. */
    private static boolean exceedsLimits(JsonNode transaction) {
        int entries =
                transaction.path("expectRev").size()
                        + transaction.path("writes").size()
                        + transaction.path("remove").size();
        boolean exceeds = entries > MAX_ENTRIES || partitionCount(transaction) > 1;
        for (JsonNode write : transaction.path("writes")) {
            exceeds |= write.path("key").asText().length() > MAX_KEY_BYTES;
            exceeds |= write.path("value").asText().length() * 3L / 4 > MAX_ROW_BYTES;
        }
        return exceeds;
    }

    private static long partitionCount(JsonNode transaction) {
        return Stream.of("expectRev", "writes", "remove")
                .flatMap(field -> transaction.path(field).valueStream())
                .map(row -> row.path("part").asText())
                .distinct()
                .count();
    }

    private synchronized ObjectNode get(Request request) {
        String table = request.parameter("table");
        String partition = request.parameter("part");
        String endKey = request.parameter("target");
        String limit = request.parameter("limit");
        int maxRows =
                limit.isEmpty() ? MAX_PAGE_ROWS : Math.min(MAX_PAGE_ROWS, Integer.parseInt(limit));
        ObjectNode response = JSON.createObjectNode();
        ArrayNode page = response.putArray("rows");
        boolean hasMore = false;
        Key startKey = new Key(table, partition, request.parameter("from"));
        for (Map.Entry<Key, Value> row : rows.tailMap(startKey).entrySet()) {
            Key key = row.getKey();
            boolean inRange =
                    key.table().equals(table)
                            && key.partition().equals(partition)
                            && (endKey.isEmpty() || key.key().compareTo(endKey) < 0);
            if (!inRange || hasMore) {
                break;
            }
            if (!row.getValue().deleted()) {
                hasMore = page.size() >= maxRows;
                if (!hasMore) {
                    page.add(row(key, row.getValue()));
                }
            }
        }
        return response.put("hasMore", hasMore).put("ver", version).put("nowMs", nowMillis());
    }

    private synchronized ObjectNode partitions(Request request) {
        TreeSet<String> names = new TreeSet<>();
        rows.forEach(
                (key, value) -> {
                    if (key.table().equals(request.parameter("table")) && !value.deleted()) {
                        names.add(key.partition());
                    }
                });
        ObjectNode response = JSON.createObjectNode();
        names.forEach(response.putArray("parts")::add);
        return response.put("hasMore", false);
    }

    private void feed(Request request, Connection connection) throws IOException {
        long after = Long.parseLong(request.parameter("after"));
        long deadlineNanos =
                System.nanoTime() + Long.parseLong(request.parameter("waitMs")) * 1_000_000L;
        ObjectNode response = JSON.createObjectNode();
        int status = awaitChanges(request.parameter("table"), after, deadlineNanos, response);
        if (faultMode == FaultMode.SILENT) {
            awaitResponsive();
        }
        connection.respond(status, "", JSON.writeValueAsBytes(response));
    }

    private synchronized int awaitChanges(
            String table, long after, long deadlineNanos, ObjectNode response) throws IOException {
        while (true) {
            if (after < discardedUpTo) {
                return 410;
            }
            List<Map.Entry<Key, Value>> changes = new ArrayList<>();
            rows.entrySet().stream()
                    .filter(row -> row.getKey().table().equals(table))
                    .filter(row -> row.getValue().version() > after)
                    .forEach(changes::add);
            long remaining = deadlineNanos - System.nanoTime();
            if (!changes.isEmpty() || remaining <= 0) {
                changes.sort(java.util.Comparator.comparing(row -> row.getValue().version()));
                ArrayNode page = response.putArray("rows");
                changes.forEach(row -> page.add(row(row.getKey(), row.getValue())));
                response.put("ver", version).put("nowMs", nowMillis());
                return 200;
            }
            try {
                wait(remaining / 1_000_000L + 1);
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
