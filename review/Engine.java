package standins;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound engine: slots, a short queue, streams of numbered events that resume, plain answers, registration. */
public final class Engine implements AutoCloseable {

    private static final int QUEUE = 24;

    /** One run of a request. */
    public static final class Run {
        public final String id;
        public final String uri;
        public final int from;
        public final long startNanos = System.nanoTime();
        public volatile int lastEvent;
        public volatile boolean complete;
        public volatile boolean over;
        public volatile long endNanos;

        Run(String id, String uri, int from) {
            this.id = id;
            this.uri = uri;
            this.from = from;
        }
    }

    /** Answers requests of routes that are no streams. */
    @FunctionalInterface
    public interface Plain {
        void answer(Http.Request request, Http.Connection connection, Run run, String head) throws IOException;
    }

    public volatile Plain plain;
    /** Until when all streams of this engine make a pause. */
    public volatile long pauseUntilNanos = System.nanoTime();
    public final String id;
    private final String ip;
    private final String service;
    private final String zone;
    private final int slots;
    private final Store store;
    public volatile int eventMs;
    private final Semaphore free;
    private final AtomicInteger queued = new AtomicInteger();
    public final List<Run> runs = new CopyOnWriteArrayList<>();
    private final java.util.Set<Run> active = ConcurrentHashMap.newKeySet();
    private final long born = System.currentTimeMillis();
    private Http.Server server;
    private final int port;
    private volatile boolean closed;
    private volatile boolean up = true;

    public Engine(Store store, String ip, String id, String service, String zone, int slots, int eventMs) throws Exception {
        this.store = store;
        this.ip = ip;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.eventMs = eventMs;
        this.free = new Semaphore(slots, true);
        server = new Http.Server(ip, 0, this::handle);
        port = server.port();
        Thread.ofVirtual().start(() -> {
            for (int beat = 1; !closed; beat++) {
                if (up) {
                    store.put("servers", id, registration("ready", beat));
                }
                pause(1200);
            }
        });
    }

    private String registration(String state, int sequence) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + port + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state + "\",\"coldLeftMs\":0,\"stage\":\"both\","
                + "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":" + sequence + ",\"born\":" + born + "}";
    }

    public int active() {
        return active.size();
    }

    public boolean isAtWorkOn(java.util.function.Predicate<String> ids) {
        return active.stream().anyMatch(run -> ids.test(run.id));
    }

    private boolean handle(Http.Request request, Http.Connection connection) throws Exception {
        if (request.path().equals("/healthz")) {
            connection.respond(200, "Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        String expected = request.header("Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            connection.respond(421, "Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        if (queued.incrementAndGet() > slots + QUEUE) {
            queued.decrementAndGet();
            connection.respond(503, "Not-Run: 1\r\n", new byte[0]);
            return true;
        }
        try {
            while (!free.tryAcquire(20, TimeUnit.MILLISECONDS)) {
                if (connection.isClosedByPeer()) {
                    return false;
                }
            }
            try {
                return run(request, connection);
            } finally {
                free.release();
            }
        } finally {
            queued.decrementAndGet();
        }
    }

    private boolean run(Http.Request request, Http.Connection connection) throws IOException {
        String attempt = request.header("Attempt-Id");
        String last = request.header("Last-Event-Id");
        int from = last.isEmpty() ? 0 : Integer.parseInt(last);
        Run run = new Run(attempt, request.uri, from);
        runs.add(run);
        active.add(run);
        try {
            if (plain != null) {
                plain.answer(request, connection, run, "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt
                        + "\r\nServer-Stamp: stamp." + id + "." + attempt + "\r\n");
                return true;
            }
            String[] tokens = request.header("Token-Count").split(",");
            int events = tokens.length < 2 ? 1 : Integer.parseInt(tokens[1].trim());
            connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Stamp: stamp." + id + "." + attempt
                    + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int event = from + 1; event <= events; event++) {
                pause(eventMs);
                while (System.nanoTime() - pauseUntilNanos < 0) {
                    pause(5);
                }
                if (connection.isClosedByPeer()) {
                    return false;
                }
                String text = "id: " + event + "\ndata: " + data(attempt, event) + "\n\n";
                connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
                run.lastEvent = event;
            }
            connection.write("0\r\n\r\n");
            run.complete = true;
            return true;
        } finally {
            run.over = true;
            run.endNanos = System.nanoTime();
            active.remove(run);
        }
    }

    public static String data(String id, int event) {
        return id + "-" + event;
    }

    public static String text(String id, int events) {
        StringBuilder out = new StringBuilder();
        for (int event = 1; event <= events; event++) {
            out.append(event == 1 ? "" : "\n").append(data(id, event));
        }
        return out.toString();
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
    }
}
