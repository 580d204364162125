import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-ins of the third review: the platform's store, engines, a proxy, a client, and the start of
 * gateways with the command of the deploy file. They speak PROTOCOL.md on loopback addresses.
 */
final class R3Kit implements AutoCloseable {

    static final ObjectMapper JSON = new ObjectMapper();
    static final String HOST = "ficu95.example";
    static final long START = System.nanoTime();

    /** A run that takes longer has hung, and says nothing about the rule. */
    private static final double LONGEST_RUN = 112;

    static {
        Thread.setDefaultUncaughtExceptionHandler(
                (thread, failure) -> {
                    if (thread.getName().equals("main")) {
                        failure.printStackTrace();
                        Runtime.getRuntime().exit(2);
                    }
                });
    }

    final Path root = Path.of("").toAbsolutePath();
    final Path work;
    final String net;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Store store;
    final int frontPort;
    final int readyPort;
    final int controlPort;
    final List<Engine> engines = new CopyOnWriteArrayList<>();
    final List<Gateway> gateways = new CopyOnWriteArrayList<>();
    final List<AutoCloseable> others = new CopyOnWriteArrayList<>();
    private final List<String> record = Collections.synchronizedList(new ArrayList<>());
    private final Path recordFile;
    volatile boolean closed;

    R3Kit(Path folder) throws IOException {
        recordFile = folder.resolve("record.txt");
        work = Files.createTempDirectory("review-3-");
        long pid = ProcessHandle.current().pid();
        net = "127." + (64 + pid % 128) + "." + (pid / 128 % 250 + 1) + ".";
        store = new Store(net + "2");
        int[] ports = freePorts(3);
        frontPort = ports[0];
        readyPort = ports[1];
        controlPort = ports[2];
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        Thread.startVirtualThread(
                () -> {
                    sleep(LONGEST_RUN);
                    cannotRun("it takes too long");
                });
        note("trouble=" + trouble);
    }

    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep((long) (seconds * 1000));
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    /** Sleeps until a time on the clock of {@link #now}. */
    static void until(double time) {
        sleep(Math.max(0, time - now()));
    }

    void note(String text) {
        String line = String.format(Locale.ROOT, "%8.3f %s", now(), text);
        record.add(line);
        System.out.println(line);
    }

    /** A line that only the record needs. */
    void detail(String text) {
        record.add(String.format(Locale.ROOT, "%8.3f %s", now(), text));
    }

    /** Ports that are free on all addresses of this run. */
    int[] freePorts(int count) throws IOException {
        int[] ports = new int[count];
        int port = 18000 + (int) (System.nanoTime() / 1000 % 12000);
        for (int found = 0; found < count; port++) {
            boolean free = true;
            for (int host = 1; host < 40 && free; host++) {
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress(net + host, port));
                } catch (IOException taken) {
                    free = false;
                }
            }
            if (free) {
                ports[found++] = port;
            }
        }
        return ports;
    }

    /** Ends everything and writes the record. */
    @Override
    public synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        gateways.forEach(Gateway::kill);
        engines.forEach(Engine::close);
        for (AutoCloseable other : others) {
            try {
                other.close();
            } catch (Exception ignored) {
                // It ends with this process.
            }
        }
        store.close();
        try {
            Files.write(recordFile, List.copyOf(record));
            try (var files = Files.walk(work)) {
                if (System.getenv("KEEP") == null) {
                    files.sorted(Collections.reverseOrder()).forEach(path -> path.toFile().delete());
                }
            }
        } catch (IOException failure) {
            System.out.println("record not written: " + failure);
        }
    }

    /** Ends the process: 1 if the rule was broken, 0 if it held. */
    void finish(boolean broken, String text) {
        note((broken ? "BROKEN: " : "held: ") + text);
        close();
        Runtime.getRuntime().halt(broken ? 1 : 0);
    }

    void cannotRun(String reason) {
        note("cannot run: " + reason);
        close();
        Runtime.getRuntime().halt(2);
    }

    // ---------------------------------------------------------------- HTTP

    record Request(String method, String uri, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String path() {
            int query = uri.indexOf('?');
            return query < 0 ? uri : uri.substring(0, query);
        }

        String parameter(String name) {
            int query = uri.indexOf('?');
            if (query >= 0) {
                for (String pair : uri.substring(query + 1).split("&")) {
                    int equals = pair.indexOf('=');
                    if (equals > 0 && pair.substring(0, equals).equals(name)) {
                        return java.net.URLDecoder.decode(
                                pair.substring(equals + 1), StandardCharsets.UTF_8);
                    }
                }
            }
            return "";
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) {
                throw new EOFException();
            }
            if (next != '\r') {
                bytes.write(next);
            }
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        String line;
        while (!(line = line(in)).isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        return headers;
    }

    static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            int size;
            while ((size = Integer.parseInt(line(in).strip(), 16)) > 0) {
                bytes.writeBytes(exactly(in, size));
                line(in);
            }
            line(in);
            return bytes.toByteArray();
        }
        String length = headers.get("content-length");
        return length == null ? new byte[0] : exactly(in, Integer.parseInt(length));
    }

    static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException();
        }
        return bytes;
    }

    interface Handler {
        /** Returns whether the connection stays open. */
        boolean handle(Request request, Socket socket, OutputStream out) throws Exception;
    }

    static final class Server implements AutoCloseable {
        final ServerSocket listener;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

        Server(String ip, int port, Handler handler) throws IOException {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(ip, port), 500);
            Thread.startVirtualThread(
                    () -> {
                        while (!listener.isClosed()) {
                            try {
                                Socket socket = listener.accept();
                                socket.setTcpNoDelay(true);
                                sockets.add(socket);
                                Thread.startVirtualThread(() -> serve(socket, handler));
                            } catch (IOException ended) {
                                return;
                            }
                        }
                    });
        }

        private void serve(Socket socket, Handler handler) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                boolean open = true;
                while (open) {
                    String first = line(in);
                    String[] words = first.split(" ");
                    Map<String, String> headers = headers(in);
                    open = handler.handle(new Request(words[0], words[1], headers, body(in, headers)), socket, out);
                }
            } catch (Exception ended) {
                // The peer has left, or the stand-in closes.
            } finally {
                sockets.remove(socket);
            }
        }

        int port() {
            return listener.getLocalPort();
        }

        @Override
        public void close() {
            try {
                listener.close();
                for (Socket socket : sockets) {
                    socket.close();
                }
            } catch (IOException ignored) {
                // It ends with this process.
            }
        }
    }

    static void respond(OutputStream out, int status, String extra, byte[] body) throws IOException {
        byte[] head =
                ("HTTP/1.1 " + status + " x\r\n" + extra + "Content-Length: " + body.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        out.write(all);
        out.flush();
    }

    record Answer(int status, Map<String, String> headers, byte[] body) {
        JsonNode json() throws IOException {
            return JSON.readTree(body);
        }
    }

    /** One client attempt on a new channel; status 0 if no complete answer came. */
    Answer call(String ip, String method, String uri, Map<String, String> headers, byte[] body, double timeout) {
        return call(ip, frontPort, method, uri, headers, body, timeout);
    }

    static Answer call(
            String ip, int port, String method, String uri, Map<String, String> headers, byte[] body, double timeout) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), 1000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) (timeout * 1000));
            StringBuilder head = new StringBuilder(method + " " + uri + " HTTP/1.1\r\nHost: " + HOST + "\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            OutputStream out = socket.getOutputStream();
            out.write((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            int status = Integer.parseInt(line(in).split(" ")[1]);
            Map<String, String> answered = headers(in);
            return new Answer(status, answered, body(in, answered));
        } catch (IOException failure) {
            return new Answer(0, Map.of("failure", failure.toString()), new byte[0]);
        }
    }

    // ---------------------------------------------------------------- store

    /** The platform's store: linearizable rows, transactions, feeds and objects. */
    static final class Store implements AutoCloseable {
        private record Key(String table, String part, String key) {}

        private static final class Row {
            String value;
            long version;
            boolean deleted;
        }

        final Server server;
        final String ip;
        private final Map<Key, Row> rows = new HashMap<>();
        private final Map<String, byte[]> blobs = new HashMap<>();
        private long version = 100;

        Store(String ip) throws IOException {
            this.ip = ip;
            server = new Server(ip, 0, this::handle);
        }

        String address() {
            return ip + ":" + server.port();
        }

        synchronized void put(String table, String key, byte[] value) {
            version++;
            write(new Key(table, "", key), Base64.getEncoder().encodeToString(value), false);
            notifyAll();
        }

        synchronized void remove(String table, String key) {
            version++;
            write(new Key(table, "", key), "", true);
            notifyAll();
        }

        private void write(Key key, String value, boolean deleted) {
            Row row = rows.computeIfAbsent(key, k -> new Row());
            row.value = value;
            row.version = version;
            row.deleted = deleted;
        }

        private boolean handle(Request request, Socket socket, OutputStream out) throws Exception {
            String path = request.path();
            Thread.sleep(4);
            if (path.startsWith("/blob-")) {
                return blob(request, out);
            }
            ObjectNode answer = JSON.createObjectNode();
            int status = 200;
            switch (path) {
                case "/rows-tx" -> {
                    Thread.sleep(2);
                    status = transact(JSON.readTree(request.body()), answer);
                }
                case "/rows-get" -> get(request, answer);
                case "/rows-parts" -> parts(request, answer);
                case "/rows-feed" -> feed(request, answer);
                default -> status = 404;
            }
            respond(out, status, "Content-Type: application/json\r\n", JSON.writeValueAsBytes(answer));
            return true;
        }

        private synchronized boolean blob(Request request, OutputStream out) throws IOException {
            String name = request.path().substring(request.path().indexOf('/', 1) + 1);
            switch (request.method()) {
                case "PUT" -> {
                    boolean exists = blobs.containsKey(name);
                    if (!exists) {
                        blobs.put(name, request.body());
                    }
                    respond(out, exists && request.header("If-None-Match").equals("*") ? 412 : 200, "", new byte[0]);
                }
                case "DELETE" -> respond(out, blobs.remove(name) == null ? 404 : 200, "", new byte[0]);
                default -> {
                    byte[] blob = blobs.get(name);
                    respond(out, blob == null ? 404 : 200, "", blob == null ? new byte[0] : blob);
                }
            }
            return true;
        }

        private static Key key(JsonNode node) {
            return new Key(node.path("table").asText(), node.path("part").asText(), node.path("key").asText());
        }

        private static long nowMs() {
            return 50_000 + (System.nanoTime() - START) / 1_000_000;
        }

        private synchronized int transact(JsonNode transaction, ObjectNode answer) {
            boolean holds = true;
            ArrayNode current = JSON.createArrayNode();
            for (JsonNode condition : transaction.path("expectRev")) {
                Key key = key(condition);
                Row row = rows.get(key);
                boolean present = row != null && !row.deleted;
                holds &= condition.path("ver").asLong() == (present ? row.version : 0);
                if (present) {
                    current.add(json(key, row));
                }
            }
            answer.put("nowMs", nowMs());
            if (!holds) {
                answer.set("rows", current);
                answer.put("ver", version);
                return 412;
            }
            version++;
            for (JsonNode entry : transaction.path("writes")) {
                write(key(entry), entry.path("value").asText(), false);
            }
            for (JsonNode entry : transaction.path("remove")) {
                write(key(entry), "", true);
            }
            answer.put("ver", version);
            notifyAll();
            return 200;
        }

        private static ObjectNode json(Key key, Row row) {
            ObjectNode node =
                    JSON.createObjectNode()
                            .put("table", key.table())
                            .put("part", key.part())
                            .put("key", key.key())
                            .put("ver", row.version);
            return row.deleted ? node.put("deleted", true) : node.put("value", row.value);
        }

        private synchronized void get(Request request, ObjectNode answer) {
            TreeMap<String, Key> found = new TreeMap<>();
            String to = request.parameter("target");
            rows.forEach(
                    (key, row) -> {
                        if (!row.deleted
                                && key.table().equals(request.parameter("table"))
                                && key.part().equals(request.parameter("part"))
                                && key.key().compareTo(request.parameter("from")) >= 0
                                && (to.isEmpty() || key.key().compareTo(to) < 0)) {
                            found.put(key.key(), key);
                        }
                    });
            String limit = request.parameter("limit");
            int most = limit.isEmpty() ? 500 : Math.min(500, Integer.parseInt(limit));
            ArrayNode list = answer.putArray("rows");
            long bytes = 0;
            for (Key key : found.values()) {
                Row row = rows.get(key);
                bytes += row.value.length();
                if (list.size() >= most || bytes > 1_000_000 && list.size() > 0) {
                    break;
                }
                list.add(json(key, row));
            }
            answer.put("hasMore", list.size() < found.size()).put("ver", version).put("nowMs", nowMs());
        }

        private synchronized void parts(Request request, ObjectNode answer) {
            Set<String> parts = new java.util.TreeSet<>();
            rows.forEach(
                    (key, row) -> {
                        if (!row.deleted && key.table().equals(request.parameter("table"))) {
                            parts.add(key.part());
                        }
                    });
            parts.forEach(answer.putArray("parts")::add);
            answer.put("hasMore", false).put("ver", version).put("nowMs", nowMs());
        }

        private synchronized void feed(Request request, ObjectNode answer) throws InterruptedException {
            long after = Long.parseLong(request.parameter("after"));
            long deadline = System.nanoTime() + Long.parseLong(request.parameter("waitMs")) * 1_000_000;
            while (true) {
                List<Map.Entry<Key, Row>> changed = new ArrayList<>();
                for (Map.Entry<Key, Row> entry : rows.entrySet()) {
                    if (entry.getKey().table().equals(request.parameter("table")) && entry.getValue().version > after) {
                        changed.add(entry);
                    }
                }
                long left = deadline - System.nanoTime();
                if (!changed.isEmpty() || left <= 0) {
                    changed.sort(java.util.Comparator.comparingLong(entry -> entry.getValue().version));
                    ArrayNode list = answer.putArray("rows");
                    changed.forEach(entry -> list.add(json(entry.getKey(), entry.getValue())));
                    answer.put("ver", version).put("nowMs", nowMs());
                    return;
                }
                wait(left / 1_000_000 + 1);
            }
        }

        @Override
        public void close() {
            server.close();
        }
    }

    void configure(long version, String routes, String services) {
        store.put(
                "op",
                "config",
                ("{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
                                + "],\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,"
                                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}")
                        .getBytes(StandardCharsets.UTF_8));
        note("configuration " + version + " acknowledged");
    }

    static String modelService(String name, int slots) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/healthz\",\"maxConns\":150,\"protocol\":\"h1\",\"tls\":false,"
                + "\"engine\":{\"slots\":" + slots + ",\"kvCapacity\":101495,\"kvTokenBytes\":131072,\"linkMbps\":1100000.0,"
                + "\"moves\":true,\"backups\":true,\"stride\":13,\"maxQueued\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,"
                + "\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}}";
    }

    static String batchRoute(String service) {
        return "{\"name\":\"r-batch\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/pule252/\",\"kind\":\"batch\","
                + "\"timeoutMs\":15000,\"goalMs\":400,\"priority\":2,\"service\":\"" + service + "\",\"attempts\":3,"
                + "\"sticky\":true,\"resumable\":true,\"gapTargetMs\":250,\"deadlineMs\":18000,\"retentionS\":60,"
                + "\"maxQueued\":1400000}";
    }

    // ---------------------------------------------------------------- engines

    /** A model engine: a stream of events per request, slots, a queue, and a ledger of its runs. */
    final class Engine implements AutoCloseable {
        final String id;
        final String service;
        final String zone;
        final int slots;
        final double eventSeconds;
        final Server server;
        final Semaphore free;
        final AtomicInteger queued = new AtomicInteger();
        final AtomicInteger running = new AtomicInteger();
        private final long born = System.currentTimeMillis();
        private final String address;
        private int sequence;
        private volatile boolean crashed;

        Engine(String id, String service, String zone, int slots, double eventSeconds, String ip) throws IOException {
            this(id, service, zone, slots, eventSeconds, ip, 0, "");
        }

        /** An engine that listens on a port (0: any) and says that it listens at an address (empty: its own). */
        Engine(String id, String service, String zone, int slots, double eventSeconds, String ip, int port, String said)
                throws IOException {
            this.id = id;
            this.service = service;
            this.zone = zone;
            this.slots = slots;
            this.eventSeconds = eventSeconds;
            free = new Semaphore(slots, true);
            server = new Server(ip, port, this::handle);
            address = said.isEmpty() ? ip + ":" + server.port() : said;
            engines.add(this);
            beat();
            Thread.startVirtualThread(
                    () -> {
                        while (!closed) {
                            sleep(1.2);
                            if (crashed) {
                                return;
                            }
                            beat();
                        }
                    });
        }

        private void beat() {
            store.put(
                    "servers",
                    id,
                    ("{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":"
                                    + slots + ",\"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"both\",\"models\":[{\"name\":"
                                    + "\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":" + ++sequence + ",\"born\":" + born + "}")
                            .getBytes(StandardCharsets.UTF_8));
        }

        private boolean handle(Request request, Socket socket, OutputStream out) throws Exception {
            String attempt = request.header("Attempt-Id");
            String expected = request.header("Expect-Instance");
            if (!expected.isEmpty() && !expected.equals(id)) {
                respond(out, 421, "Instance-Id: " + id + "\r\n", new byte[0]);
                return true;
            }
            if (request.path().equals("/healthz")) {
                respond(out, 200, "Instance-Id: " + id + "\r\n", new byte[0]);
                return true;
            }
            detail("engine " + id + " gets " + attempt + " last=" + request.header("Last-Event-Id"));
            if (queued.incrementAndGet() > slots + 24) {
                queued.decrementAndGet();
                respond(out, 503, "Not-Run: 1\r\nAttempt-Id: " + attempt + "\r\n", new byte[0]);
                return true;
            }
            free.acquire();
            running.incrementAndGet();
            boolean whole = false;
            int events = 0;
            try {
                String tokens = request.header("Token-Count");
                int last = Integer.parseInt(tokens.substring(tokens.indexOf(',') + 1).strip()) / 13;
                String after = request.header("Last-Event-Id");
                events = after.isEmpty() ? 0 : Integer.parseInt(after);
                out.write(
                        ("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
                                        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                detail("engine " + id + " runs " + attempt + " after event " + events);
                while (events < last) {
                    sleep(eventSeconds);
                    events++;
                    byte[] event = ("id: " + events + "\ndata: " + data(attempt, events) + "\n\n").getBytes(StandardCharsets.UTF_8);
                    out.write((Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                    out.write(event);
                    out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
                    out.flush();
                }
                out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                whole = true;
                return true;
            } finally {
                running.decrementAndGet();
                queued.decrementAndGet();
                free.release();
                detail("engine " + id + (whole ? " ends " : " is cut off from ") + attempt + " at event " + events);
            }
        }

        /** Ends without a word: its connections break, its port refuses. */
        void crash() {
            crashed = true;
            server.close();
        }

        @Override
        public void close() {
            server.close();
        }
    }

    static String data(String id, int event) {
        return id + "-" + event;
    }

    /** The whole output of an item with some events. */
    static String text(String id, int events) {
        StringBuilder text = new StringBuilder();
        for (int event = 1; event <= events; event++) {
            text.append(event == 1 ? "" : "\n").append(data(id, event));
        }
        return text.toString();
    }

    // ---------------------------------------------------------------- batch jobs

    static byte[] job(String id, int items, int events) {
        ObjectNode root = JSON.createObjectNode();
        ArrayNode list = root.putArray("items");
        for (int item = 0; item < items; item++) {
            ObjectNode node = list.addObject();
            node.put("id", itemId(id, item)).put("path", "/pule252/3/" + itemId(id, item));
            node.putObject("headers")
                    .put("Model", "m")
                    .put("Token-Count", "350," + events * 13)
                    .put("Prompt-Prefix", "9c2e41:100," + itemId(id, item) + ":250");
            node.put("body", Base64.getEncoder().encodeToString(("body of " + itemId(id, item)).getBytes(StandardCharsets.UTF_8)));
            node.put("tokens", 350 + events * 13);
        }
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }

    static String itemId(String job, int item) {
        return String.format(Locale.ROOT, "%s%04x", job.substring(0, 12), item);
    }

    /** Submits a job, again at other gateways as clients do; returns whether it got a 202. */
    boolean submit(List<String> ips, String id, byte[] body) {
        for (int attempt = 0; attempt < 6; attempt++) {
            String ip = ips.get(attempt % ips.size());
            Answer answer =
                    call(ip, "POST", "/pule252/7c41e0", Map.of("Attempt-Id", id, "Content-Type", "application/json", "Deadline-Ms", "4000"), body, 4);
            note("job " + id + " sent to " + ip + ": " + answer.status() + " " + answer.headers().getOrDefault("failure", ""));
            if (answer.status() == 202) {
                return true;
            }
            sleep(0.3);
        }
        return false;
    }

    /** Reads all results of a job, empty if that fails. */
    List<JsonNode> results(String ip, String id) throws IOException {
        List<JsonNode> results = new ArrayList<>();
        while (true) {
            Answer answer = call(ip, "GET", "/lots/" + id + "?after=" + results.size(), Map.of(), new byte[0], 3);
            if (answer.status() != 200) {
                note("read of " + id + " at " + ip + ": " + answer.status());
                return results;
            }
            JsonNode list = answer.json().path("results");
            list.forEach(results::add);
            if (list.isEmpty()) {
                return results;
            }
        }
    }

    // ---------------------------------------------------------------- proxy

    /** Passes connections on; can hold what arrives on open ones, and reset them. */
    static final class Proxy implements AutoCloseable {
        private final ServerSocket listener;
        private final List<Pair> pairs = new CopyOnWriteArrayList<>();
        private volatile boolean refusing;
        private volatile boolean cut;

        private static final class Pair {
            final Socket near;
            final Socket far;
            volatile boolean held;
            volatile boolean dead;

            Pair(Socket near, Socket far) {
                this.near = near;
                this.far = far;
            }
        }

        Proxy(String ip, int port, String targetIp, int targetPort) throws IOException {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(ip, port), 500);
            Thread.startVirtualThread(
                    () -> {
                        while (!listener.isClosed()) {
                            try {
                                Socket near = listener.accept();
                                if (refusing) {
                                    near.setSoLinger(true, 0);
                                    near.close();
                                    continue;
                                }
                                Thread.startVirtualThread(() -> open(near, targetIp, targetPort));
                            } catch (IOException ended) {
                                return;
                            }
                        }
                    });
        }

        private void open(Socket near, String ip, int port) {
            while (cut) {
                sleep(0.002);
            }
            try {
                Socket far = new Socket();
                far.connect(new InetSocketAddress(ip, port), 1000);
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                Pair pair = new Pair(near, far);
                pairs.add(pair);
                Thread.startVirtualThread(() -> pump(pair, near, far));
                Thread.startVirtualThread(() -> pump(pair, far, near));
            } catch (IOException failure) {
                reset(near);
            }
        }

        private void pump(Pair pair, Socket from, Socket to) {
            byte[] buffer = new byte[16384];
            try {
                int count;
                while ((count = from.getInputStream().read(buffer)) >= 0) {
                    while (pair.held) {
                        sleep(0.002);
                    }
                    if (pair.dead) {
                        // The far end doesn't know this connection any more.
                        throw new IOException("dead");
                    }
                    to.getOutputStream().write(buffer, 0, count);
                }
                if (!pair.dead) {
                    to.shutdownOutput();
                }
            } catch (IOException ended) {
                pairs.remove(pair);
                reset(from);
                if (!pair.dead || to == pair.far) {
                    reset(to);
                }
            }
        }

        private static void reset(Socket socket) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException ignored) {
                // It is closed.
            }
        }

        /** From now on nothing arrives on the open connections; returns how many there are. */
        int hold() {
            pairs.forEach(pair -> pair.held = true);
            return pairs.size();
        }

        /**
         * Cuts everything silently while the far end crashes: the near ends of open connections hear nothing of that.
         * Once the cut is over ({@link #resume}), what they send is answered with a reset, and new connections work.
         */
        int cut() {
            cut = true;
            pairs.forEach(
                    pair -> {
                        pair.dead = true;
                        pair.held = true;
                    });
            return pairs.size();
        }

        /** What was held arrives. */
        void resume() {
            cut = false;
            pairs.forEach(pair -> pair.held = false);
        }

        /** Resets the open connections at both ends; what was held is lost. */
        void resetAll() {
            for (Pair pair : pairs) {
                pairs.remove(pair);
                reset(pair.near);
                reset(pair.far);
                pair.held = false;
            }
        }

        /** Resets new connections at once, or no longer. */
        void refuse(boolean newRefusing) {
            refusing = newRefusing;
        }

        @Override
        public void close() {
            try {
                listener.close();
            } catch (IOException ignored) {
                // It ends with this process.
            }
            resetAll();
        }
    }

    // ---------------------------------------------------------------- gateways

    /** A gateway, started with the command of the deploy file. */
    final class Gateway {
        final String name;
        final String ip;
        final Path settings;
        final Path log;
        Process process;

        Gateway(String name, String ip, String zone, double cpuShare, int firstPort, List<String> seeds, String storeAddress)
                throws IOException {
            this.name = name;
            this.ip = ip;
            settings = work.resolve(name + ".yaml");
            log = work.resolve(name + ".log");
            ObjectNode root =
                    (ObjectNode)
                            JSON.readTree(
                                    "{\"role\":\"gateway\",\"class\":\"front\",\"serves\":[\"front\",\"control\"],\"region\":\"kz\","
                                            + "\"bootstrap\":true,\"countsAsLoss\":false,\"dataDir\":null,\"discovery\":\"platform\","
                                            + "\"entry\":\"vip\",\"heartbeatMs\":1200,\"contracts\":[\"base\",\"drain\",\"config\","
                                            + "\"cost\",\"recover\",\"batch\",\"stream\",\"engine\",\"platform\"],\"tolerate\":"
                                            + "{\"machines\":1,\"zones\":0,\"regions\":0},\"bounds\":{\"seedLagS\":3,\"reuseAfterS\":2,"
                                            + "\"stableMs\":3000,\"ackMs\":4000,\"catchupS\":4.6,\"drainMs\":2000,\"graceS\":8,"
                                            + "\"lossSlackMs\":200,\"configMs\":2000,\"revertMs\":250,\"skewMs\":5000,\"recoveryS\":12,"
                                            + "\"passMs\":120,\"retryAfterS\":0,\"finishS\":18,\"statusS\":120,\"cancelMs\":3000,"
                                            + "\"settleMs\":1000,\"quotaExcess\":0.1},\"platform\":{\"form\":\"table\","
                                            + "\"writesPerS\":800,\"readsPerS\":2000,\"txMs\":6.0,\"partWritesS\":200,\"rowBytes\":65536,"
                                            + "\"across\":false,\"historyS\":20,\"blobBytes\":8388608,\"blobMs\":25.0,\"blobMbS\":80.0}}");
            root.put("node", name).put("ip", ip).put("zone", zone);
            root.putObject("zones").put(zone, "kz");
            root.putObject("listen")
                    .put("front", ip + ":" + frontPort)
                    .put("readiness", ip + ":" + readyPort)
                    .put("control", ip + ":" + controlPort);
            root.putArray("portRange").add(firstPort).add(firstPort + 3);
            ArrayNode seedList = root.putArray("seeds");
            seeds.forEach(seed -> seedList.add(seed + ":" + controlPort));
            root.putObject("limits")
                    .put("cpuShare", cpuShare)
                    .put("cores", 2)
                    .put("memoryMb", 460)
                    .put("maxFds", 8200)
                    .put("linkMbps", 1000.0)
                    .put("diskMb", 0);
            ((ObjectNode) root.path("platform")).put("address", storeAddress);
            Files.write(settings, JSON.writeValueAsBytes(root));
            gateways.add(this);
            start();
        }

        void start() throws IOException {
            List<String> command = new ArrayList<>();
            Map<String, String> environment = new HashMap<>();
            for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
                if (line.startsWith("run = \"")) {
                    command.addAll(List.of(line.substring(7, line.lastIndexOf('"')).split(" ")));
                } else if (line.startsWith("env = {")) {
                    var pair = java.util.regex.Pattern.compile("(\\w+) = \"([^\"]*)\"").matcher(line.substring(6));
                    while (pair.find()) {
                        environment.put(pair.group(1), pair.group(2));
                    }
                }
            }
            ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
            builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().putAll(environment);
            builder.environment().put("FUCHSIASPINDLE_SETTINGS", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            note("gateway " + name + " started at " + ip + " pid " + process.pid());
        }

        boolean isReady() {
            return R3Kit.call(ip, readyPort, "GET", "/readyz", Map.of(), new byte[0], 1).status() == 200;
        }

        void signal(String signal) {
            note("gateway " + name + ": " + signal);
            try {
                new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
            } catch (IOException | InterruptedException failure) {
                throw new IllegalStateException(failure);
            }
        }

        void kill() {
            if (process != null) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException ignored) {
                    // It was told to end.
                }
            }
        }

        List<String> logLines(String part) {
            try {
                return Files.readAllLines(log).stream().filter(line -> line.contains(part)).toList();
            } catch (IOException failure) {
                return List.of();
            }
        }
    }

    void awaitReady() {
        double limit = now() + 25;
        for (Gateway gateway : gateways) {
            while (!gateway.isReady()) {
                if (now() > limit) {
                    cannotRun("gateway " + gateway.name + " is not ready");
                }
                sleep(0.1);
            }
        }
        note("all gateways ready");
    }
}
