package standins;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The platform's store as PROTOCOL.md tells it: rows, feed and objects. Loses nothing and is never late by itself. */
public final class Store implements AutoCloseable {

    private record Row(String table, String part, String key, String value, long ver, boolean deleted) {
        String json() {
            return "{\"table\":" + Json.quote(table) + ",\"part\":" + Json.quote(part) + ",\"key\":" + Json.quote(key)
                    + (deleted ? ",\"deleted\":true" : ",\"value\":\"" + value + "\"") + ",\"ver\":" + ver + "}";
        }

        int size() {
            return value.length() + 120;
        }
    }

    private static final int MAX_ROWS = 500;
    private static final int MAX_BYTES = 1_000_000;
    private static final int TX_MS = 6;
    private static final int READ_MS = 4;
    private static final int BLOB_MS = 25;
    private static final double BLOB_BYTES_PER_MS = 80_000;
    private static final long MAX_BLOB_BYTES = 400_000_000;
    private static final int PIECE = 262_144;

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final Map<String, byte[]> blobs = new ConcurrentHashMap<>();
    private final long start = System.nanoTime();
    private final AtomicInteger transfers = new AtomicInteger();
    public final AtomicInteger blobsRead = new AtomicInteger();
    private final Http.Server server;
    private long version = 1;
    /** Calls refused because they are larger than the pages allow. */
    public volatile int oversized;

    public Store(String ip) throws Exception {
        server = new Http.Server(ip, 0, this::handle);
    }

    public int port() {
        return server.port();
    }

    private static String id(String table, String part, String key) {
        return table + '\u0001' + part + '\u0001' + key;
    }

    public synchronized void put(String table, String key, String text) {
        version++;
        String value = java.util.Base64.getEncoder().encodeToString(text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        rows.put(id(table, "", key), new Row(table, "", key, value, version, false));
        notifyAll();
    }

    public synchronized void remove(String table, String key) {
        version++;
        rows.put(id(table, "", key), new Row(table, "", key, "", version, true));
        notifyAll();
    }

    private long nowMs() {
        return (System.nanoTime() - start) / 1_000_000 + 1000;
    }

    private boolean handle(Http.Request request, Http.Connection connection) throws Exception {
        String path = request.path();
        if (path.startsWith("/blob-")) {
            Thread.sleep(BLOB_MS);
            blob(request, path, connection);
            return true;
        }
        switch (path) {
            case "/rows-tx" -> {
                Thread.sleep(TX_MS);
                if (request.body.length > MAX_BYTES + 200_000) {
                    oversized++;
                    connection.respond(413, "", new byte[0]);
                } else {
                    StringBuilder out = new StringBuilder();
                    int status = transact(Json.object(new String(request.body, java.nio.charset.StandardCharsets.UTF_8)), out);
                    connection.respond(status, "Content-Type: application/json\r\n", out.toString().getBytes());
                }
            }
            case "/rows-get" -> {
                Thread.sleep(READ_MS);
                connection.respond(200, "Content-Type: application/json\r\n", get(request).getBytes());
            }
            case "/rows-parts" -> {
                Thread.sleep(READ_MS);
                connection.respond(200, "Content-Type: application/json\r\n", parts(request).getBytes());
            }
            case "/rows-feed" -> connection.respond(200, "Content-Type: application/json\r\n", feed(request).getBytes());
            default -> connection.respond(404, "", new byte[0]);
        }
        return true;
    }

    /** Takes the time that some bytes of an object need while other calls share the store's bandwidth. */
    private void share(int bytes) throws InterruptedException {
        Thread.sleep(Math.max(0, Math.round((double) bytes * transfers.get() / BLOB_BYTES_PER_MS)));
    }

    private void blob(Http.Request request, String path, Http.Connection connection) throws Exception {
        String name = path.substring(path.indexOf('/', 1) + 1);
        transfers.incrementAndGet();
        try {
            blobCall(request, path, name, connection);
        } finally {
            transfers.decrementAndGet();
        }
    }

    private void blobCall(Http.Request request, String path, String name, Http.Connection connection) throws Exception {
        if (path.startsWith("/blob-put/")) {
            for (int at = 0; at < request.body.length; at += PIECE) {
                share(Math.min(PIECE, request.body.length - at));
            }
            if (blobs.values().stream().mapToLong(content -> content.length).sum() + request.body.length > MAX_BLOB_BYTES) {
                connection.respond(507, "", new byte[0]);
                return;
            }
            boolean exists = request.header("If-None-Match").equals("*")
                    ? blobs.putIfAbsent(name, request.body) != null : blobs.put(name, request.body) == null & false;
            connection.respond(exists ? 412 : 200, "", new byte[0]);
        } else if (path.startsWith("/blob-get/")) {
            byte[] content = blobs.get(name);
            if (content == null) {
                connection.respond(404, "", new byte[0]);
                return;
            }
            connection.write("HTTP/1.1 200 X\r\nContent-Length: " + content.length + "\r\n\r\n");
            for (int at = 0; at < content.length; at += PIECE) {
                int length = Math.min(PIECE, content.length - at);
                share(length);
                connection.out.write(content, at, length);
                connection.out.flush();
            }
            blobsRead.incrementAndGet();
        } else {
            connection.respond(blobs.remove(name) == null ? 404 : 200, "", new byte[0]);
        }
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> list(Map<String, Object> map, String name) {
        return (List<Map<String, Object>>) map.getOrDefault(name, List.of());
    }

    private synchronized int transact(Map<String, Object> call, StringBuilder out) {
        int entries = list(call, "expectRev").size() + list(call, "writes").size() + list(call, "remove").size();
        if (entries > 100) {
            oversized++;
            out.append("{}");
            return 400;
        }
        boolean holds = true;
        StringBuilder current = new StringBuilder();
        for (Map<String, Object> condition : list(call, "expectRev")) {
            Row row = rows.get(id((String) condition.get("table"), (String) condition.get("part"), (String) condition.get("key")));
            boolean present = row != null && !row.deleted();
            holds &= (present ? row.ver() : 0) == ((Number) condition.get("ver")).longValue();
            if (present) {
                current.append(current.isEmpty() ? "" : ",").append(row.json());
            }
        }
        if (!holds) {
            out.append("{\"rows\":[").append(current).append("],\"ver\":").append(version).append(",\"nowMs\":").append(nowMs()).append('}');
            return 412;
        }
        version++;
        for (Map<String, Object> write : list(call, "writes")) {
            String table = (String) write.get("table");
            String part = (String) write.get("part");
            String key = (String) write.get("key");
            rows.put(id(table, part, key), new Row(table, part, key, (String) write.get("value"), version, false));
        }
        for (Map<String, Object> removal : list(call, "remove")) {
            String table = (String) removal.get("table");
            String part = (String) removal.get("part");
            String key = (String) removal.get("key");
            rows.put(id(table, part, key), new Row(table, part, key, "", version, true));
        }
        notifyAll();
        out.append("{\"ver\":").append(version).append(",\"nowMs\":").append(nowMs()).append('}');
        return 200;
    }

    private synchronized String get(Http.Request request) {
        String table = request.parameter("table");
        String part = request.parameter("part");
        String target = request.parameter("target");
        int limit = request.parameter("limit").isEmpty() ? MAX_ROWS : Math.min(MAX_ROWS, Integer.parseInt(request.parameter("limit")));
        StringBuilder out = new StringBuilder("{\"rows\":[");
        int count = 0;
        int bytes = 0;
        boolean more = false;
        for (Row row : rows.tailMap(id(table, part, request.parameter("from"))).values()) {
            if (!row.table().equals(table) || !row.part().equals(part) || !target.isEmpty() && row.key().compareTo(target) >= 0) {
                break;
            }
            if (row.deleted()) {
                continue;
            }
            if (count >= limit || bytes + row.size() > MAX_BYTES && count > 0) {
                more = true;
                break;
            }
            out.append(count++ == 0 ? "" : ",").append(row.json());
            bytes += row.size();
        }
        return out.append("],\"hasMore\":").append(more).append(",\"ver\":").append(version).append(",\"nowMs\":").append(nowMs()).append('}').toString();
    }

    private synchronized String parts(Http.Request request) {
        String table = request.parameter("table");
        java.util.TreeSet<String> names = new java.util.TreeSet<>();
        rows.values().forEach(row -> {
            if (row.table().equals(table) && !row.deleted()) {
                names.add(row.part());
            }
        });
        StringBuilder out = new StringBuilder("{\"parts\":[");
        names.forEach(name -> out.append(out.charAt(out.length() - 1) == '[' ? "" : ",").append(Json.quote(name)));
        return out.append("],\"hasMore\":false,\"ver\":").append(version).append(",\"nowMs\":").append(nowMs()).append('}').toString();
    }

    private synchronized String feed(Http.Request request) throws InterruptedException {
        String table = request.parameter("table");
        long after = Long.parseLong(request.parameter("after"));
        long until = System.nanoTime() + Long.parseLong(request.parameter("waitMs")) * 1_000_000;
        while (true) {
            List<Row> changed = new ArrayList<>();
            for (Row row : rows.tailMap(table + '\u0001').values()) {
                if (!row.table().equals(table)) {
                    break;
                }
                if (row.ver() > after) {
                    changed.add(row);
                }
            }
            long left = until - System.nanoTime();
            if (!changed.isEmpty() || left <= 0) {
                changed.sort(java.util.Comparator.comparingLong(Row::ver));
                StringBuilder out = new StringBuilder("{\"rows\":[");
                for (Row row : changed) {
                    out.append(out.charAt(out.length() - 1) == '[' ? "" : ",").append(row.json());
                }
                return out.append("],\"ver\":").append(version).append(",\"nowMs\":").append(nowMs()).append('}').toString();
            }
            wait(Math.max(1, left / 1_000_000));
        }
    }

    @Override
    public void close() throws Exception {
        server.close();
    }
}
