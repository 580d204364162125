package fuchsiareview2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * A sound store of the platform: rows with one counter of versions, transactions, feeds and
 * objects. It refuses nothing and takes `txMs` for a transaction, `blobMs` and `blobMbS` for an
 * object. All calls on objects share `blobMbS`, as PROTOCOL.md says.
 */
final class Platform {

    private static final int MAX_PAGE = 500;
    private static final int MAX_PAGE_BYTES = 1_000_000;

    private record Row(String table, String part, String key, String value, long ver) {}

    private record Change(long ver, Row row, boolean deleted) {}

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final Map<String, TreeMap<String, Row>> rows = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
    private final ReentrantLock objectLink = new ReentrantLock(true);
    private final ServerSocket server;
    private long version = 100;
    private final long startNanos = System.nanoTime();

    final long txMs;
    final long blobMs;
    final double blobMbS;

    Platform(String ip, int port, long txMs, long blobMs, double blobMbS) throws IOException {
        this.txMs = txMs;
        this.blobMs = blobMs;
        this.blobMbS = blobMbS;
        server = Net.listen(ip, port);
        Net.serve(server, this::handle);
    }

    /** Writes a row as the operator or an engine does. */
    void put(String table, String key, String value) {
        lock.lock();
        try {
            version++;
            String encoded =
                    Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
            write(new Row(table, "", key, encoded, version));
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Removes a row as an engine or the platform does. */
    void remove(String table, String key) {
        lock.lock();
        try {
            version++;
            delete(table, "", key);
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    private boolean handle(Net.Message request, OutputStream out, Socket socket)
            throws IOException {
        String target = request.target();
        int mark = target.indexOf('?');
        String path = mark < 0 ? target : target.substring(0, mark);
        Map<String, String> query = query(mark < 0 ? "" : target.substring(mark + 1));
        if (path.equals("/rows-tx")) {
            transaction(request, out);
        } else if (path.equals("/rows-get")) {
            json(out, 200, get(query));
        } else if (path.equals("/rows-parts")) {
            json(out, 200, parts(query));
        } else if (path.equals("/rows-feed")) {
            json(out, 200, feed(query));
        } else if (path.startsWith("/blob-put/")) {
            takeObjectTime(request.body().length);
            boolean added = objects.putIfAbsent(path.substring(10), request.body()) == null;
            Net.answer(out, added ? 200 : 412, "", new byte[0]);
        } else if (path.startsWith("/blob-get/")) {
            byte[] found = objects.get(path.substring(10));
            takeObjectTime(found == null ? 0 : found.length);
            Net.answer(out, found == null ? 404 : 200, "", found == null ? new byte[0] : found);
        } else if (path.startsWith("/blob-drop/")) {
            boolean dropped = objects.remove(path.substring(11)) != null;
            Net.answer(out, dropped ? 200 : 404, "", new byte[0]);
        } else {
            Net.answer(out, 404, "", new byte[0]);
        }
        return true;
    }

    private void takeObjectTime(int bytes) {
        sleep(blobMs);
        objectLink.lock();
        try {
            sleep((long) (bytes / blobMbS / 1000));
        } finally {
            objectLink.unlock();
        }
    }

    private void transaction(Net.Message request, OutputStream out) throws IOException {
        Map<String, Object> call = Js.map(Js.read(request.text()));
        sleep(txMs);
        Map<String, Object> answer = new LinkedHashMap<>();
        int status = 200;
        lock.lock();
        try {
            List<Object> current = new ArrayList<>();
            for (Object expected : Js.list(call.get("expectRev"))) {
                Map<String, Object> row = Js.map(expected);
                Row found = find(row);
                if ((found == null ? 0 : found.ver()) != Js.num(row.get("ver"))) {
                    status = 412;
                }
                if (found != null) {
                    current.add(json(found));
                }
            }
            if (status == 412) {
                answer.put("rows", current);
            } else {
                version++;
                for (Object written : Js.list(call.get("writes"))) {
                    Map<String, Object> row = Js.map(written);
                    write(
                            new Row(
                                    Js.str(row.get("table")),
                                    Js.str(row.get("part")),
                                    Js.str(row.get("key")),
                                    Js.str(row.get("value")),
                                    version));
                }
                for (Object removed : Js.list(call.get("remove"))) {
                    Map<String, Object> row = Js.map(removed);
                    delete(
                            Js.str(row.get("table")),
                            Js.str(row.get("part")),
                            Js.str(row.get("key")));
                }
                changed.signalAll();
            }
            stamp(answer);
        } finally {
            lock.unlock();
        }
        json(out, status, answer);
    }

    private Row find(Map<String, Object> row) {
        TreeMap<String, Row> part =
                rows.get(Js.str(row.get("table")) + "\n" + Js.str(row.get("part")));
        return part == null ? null : part.get(Js.str(row.get("key")));
    }

    private void write(Row row) {
        rows.computeIfAbsent(row.table() + "\n" + row.part(), name -> new TreeMap<>())
                .put(row.key(), row);
        history.add(new Change(row.ver(), row, false));
    }

    private void delete(String table, String part, String key) {
        TreeMap<String, Row> found = rows.get(table + "\n" + part);
        if (found != null && found.remove(key) != null) {
            history.add(new Change(version, new Row(table, part, key, "", version), true));
        }
    }

    private Map<String, Object> get(Map<String, String> query) {
        lock.lock();
        try {
            TreeMap<String, Row> part =
                    rows.getOrDefault(
                            query.get("table") + "\n" + query.getOrDefault("part", ""),
                            new TreeMap<>());
            String from = query.getOrDefault("from", "");
            String to = query.getOrDefault("target", "");
            int limit = Integer.parseInt(query.getOrDefault("limit", "" + MAX_PAGE));
            List<Object> page = new ArrayList<>();
            boolean more = false;
            int bytes = 0;
            for (Row row : part.tailMap(from, true).values()) {
                if (!to.isEmpty() && row.key().compareTo(to) >= 0) {
                    break;
                }
                if (page.size() == Math.min(limit, MAX_PAGE) || bytes > MAX_PAGE_BYTES) {
                    more = true;
                    break;
                }
                bytes += row.value().length();
                page.add(json(row));
            }
            Map<String, Object> answer = new LinkedHashMap<>();
            answer.put("rows", page);
            answer.put("hasMore", more);
            return stamp(answer);
        } finally {
            lock.unlock();
        }
    }

    private Map<String, Object> parts(Map<String, String> query) {
        lock.lock();
        try {
            List<Object> names = new ArrayList<>();
            String prefix = query.get("table") + "\n";
            new TreeMap<>(rows)
                    .forEach(
                            (name, part) -> {
                                if (name.startsWith(prefix) && !part.isEmpty()) {
                                    names.add(name.substring(prefix.length()));
                                }
                            });
            Map<String, Object> answer = new LinkedHashMap<>();
            answer.put("parts", names);
            answer.put("hasMore", false);
            return stamp(answer);
        } finally {
            lock.unlock();
        }
    }

    private Map<String, Object> feed(Map<String, String> query) {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        lock.lock();
        try {
            List<Object> found = changesAfter(query.get("table"), after);
            while (found.isEmpty() && System.nanoTime() < end) {
                changed.awaitNanos(end - System.nanoTime());
                found = changesAfter(query.get("table"), after);
            }
            Map<String, Object> answer = new LinkedHashMap<>();
            answer.put("rows", found);
            return stamp(answer);
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        } finally {
            lock.unlock();
        }
    }

    private List<Object> changesAfter(String table, long after) {
        List<Object> found = new ArrayList<>();
        for (int i = history.size() - 1; i >= 0 && history.get(i).ver() > after; i--) {
            Change change = history.get(i);
            if (change.row().table().equals(table)) {
                Map<String, Object> row = json(change.row());
                if (change.deleted()) {
                    row.put("deleted", true);
                }
                found.add(0, row);
            }
        }
        return found;
    }

    private static Map<String, Object> json(Row row) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("table", row.table());
        map.put("part", row.part());
        map.put("key", row.key());
        map.put("value", row.value());
        map.put("ver", row.ver());
        return map;
    }

    private Map<String, Object> stamp(Map<String, Object> answer) {
        answer.put("ver", version);
        answer.put("nowMs", 1000 + (System.nanoTime() - startNanos) / 1_000_000);
        return answer;
    }

    private static void json(OutputStream out, int status, Map<String, Object> body)
            throws IOException {
        Net.answer(
                out,
                status,
                "Content-Type: application/json\r\n",
                Js.write(body).getBytes(StandardCharsets.UTF_8));
    }

    private static Map<String, String> query(String text) {
        Map<String, String> values = new HashMap<>();
        for (String pair : text.split("&")) {
            int mark = pair.indexOf('=');
            if (mark > 0) {
                values.put(
                        pair.substring(0, mark),
                        URLDecoder.decode(pair.substring(mark + 1), StandardCharsets.UTF_8));
            }
        }
        return values;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }
}
