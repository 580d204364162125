package org.fuchsiaspindle.testbed.emulator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsiaspindle.testbed.emulator.BlockingHttpServer.Connection;
import org.fuchsiaspindle.testbed.emulator.BlockingHttpServer.Request;

/**
 * A model engine or plain service: slots, a short queue, streams of events, and a ledger.
 *
 * <p>A request asks for its work by its headers: {@code X-Events} makes a stream of that many
 * events, {@code X-Fail} makes it fail with that status. Thread-safe.
 */
public final class EngineEmulator implements AutoCloseable {

    private static final int QUEUE = 24;

    /** One run of a request. */
    public static final class Run {

        private final String requestId;
        private final String lastEventId;
        private final long startNanos = System.nanoTime();
        private volatile int events;
        private volatile boolean complete;
        private volatile boolean dropped;

        Run(String requestId, String lastEventId) {
            this.requestId = requestId;
            this.lastEventId = lastEventId;
        }

        /** Returns the identifier of the request. */
        public String requestId() {
            return requestId;
        }

        /** Returns the event behind which the run was asked to go on, empty for a whole run. */
        public String lastEventId() {
            return lastEventId;
        }

        /** Returns when the run began, in monotonic nanoseconds. */
        public long startNanos() {
            return startNanos;
        }

        /** Returns the number of the last event that it made. */
        public int events() {
            return events;
        }

        /** Returns whether the run made its last byte. */
        public boolean isComplete() {
            return complete;
        }

        /** Returns whether the run was dropped because its connection was closed. */
        public boolean isDropped() {
            return dropped;
        }
    }

    /** A way in which an engine spoils its next answer. */
    public enum Spoil {
        /** Answers as it should. */
        NONE,
        /** Closes the connection within the answer. */
        TRUNCATE,
        /** Sends a second answer to the same request behind the first. */
        EXTRA_ANSWER,
        /** Runs the request and resets the connection in place of an answer. */
        LOSE_ANSWER,
        /** Runs the request and stays silent for good. */
        STAY_SILENT
    }

    /**
     * What an engine is.
     *
     * @param id its identifier
     * @param service its service
     * @param dataCentre its data centre
     * @param slots the requests that it runs at a time
     * @param eventTime the time that it takes for an event, and for a plain answer
     */
    public record Spec(
            String id, String service, String dataCentre, int slots, Duration eventTime) {}

    private final Spec spec;
    private final String ip;
    private final BlockingHttpServer server;
    private final Semaphore slots;
    private final AtomicInteger queued = new AtomicInteger();
    private final AtomicInteger busiest = new AtomicInteger();
    private final AtomicInteger active = new AtomicInteger();
    private final List<Run> ledger = new CopyOnWriteArrayList<>();
    private volatile Spoil spoil = Spoil.NONE;
    private volatile boolean dark;

    private EngineEmulator(Spec spec, String ip) {
        this.spec = spec;
        this.ip = ip;
        this.slots = new Semaphore(spec.slots(), true);
        this.server = BlockingHttpServer.start(ip, 0, this::handle);
    }

    /** Starts an engine on an address of this machine. */
    public static EngineEmulator start(Spec spec, String ip) {
        return new EngineEmulator(spec, ip);
    }

    /** Returns the registration of the engine. */
    public byte[] registration(boolean draining) {
        String document =
                "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"slots\":%d,"
                        + "\"state\":\"%s\",\"born\":%d}";
        return document.formatted(
                        spec.service(),
                        ip,
                        server.port(),
                        spec.dataCentre(),
                        spec.slots(),
                        draining ? "draining" : "ready",
                        1)
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Returns what the engine is. */
    public Spec spec() {
        return spec;
    }

    /** Returns all runs so far, in the order of their begin. */
    public List<Run> ledger() {
        return List.copyOf(ledger);
    }

    /** Returns the runs that are under way. */
    public int active() {
        return active.get();
    }

    /** Sets how the next answer is spoilt; it applies once. */
    public void spoilNext(Spoil next) {
        spoil = next;
    }

    /** Makes the engine silent: it accepts connections and answers nothing. */
    public void setDark(boolean newDark) {
        dark = newDark;
        server.setPaused(newDark);
    }

    @Override
    public void close() {
        server.close();
    }

    private boolean handle(Request request, Connection connection) throws IOException {
        String expected = request.header("Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(spec.id())) {
            connection.answer(421, "Instance-Id: " + spec.id() + "\r\n", new byte[0]);
            return true;
        }
        if (queued.incrementAndGet() > spec.slots() + QUEUE) {
            queued.decrementAndGet();
            connection.answer(503, "Not-Run: 1\r\n", new byte[0]);
            return true;
        }
        try {
            return runInSlot(request, connection);
        } finally {
            queued.decrementAndGet();
        }
    }

    private boolean runInSlot(Request request, Connection connection) throws IOException {
        while (!acquireSlot()) {
            if (connection.isClosedByPeer()) {
                return false;
            }
        }
        Run run = new Run(request.header("Attempt-Id"), request.header("Last-Event-Id"));
        ledger.add(run);
        busiest.accumulateAndGet(active.incrementAndGet(), Math::max);
        try {
            return run(request, connection, run);
        } finally {
            active.decrementAndGet();
            slots.release();
        }
    }

    private boolean acquireSlot() {
        try {
            return slots.tryAcquire(5, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private boolean run(Request request, Connection connection, Run run) throws IOException {
        Spoil way = spoil;
        spoil = Spoil.NONE;
        String headers =
                "Attempt-Id: " + request.header("Attempt-Id") + "\r\nServer-Stamp: stamp\r\n";
        if (!request.header("X-Fail").isEmpty()) {
            pause(spec.eventTime());
            run.complete = true;
            connection.answer(Integer.parseInt(request.header("X-Fail")), headers, new byte[0]);
            return true;
        }
        if (way == Spoil.LOSE_ANSWER) {
            pause(spec.eventTime());
            run.complete = true;
            connection.resetOnClose();
            return false;
        }
        if (way == Spoil.STAY_SILENT) {
            while (!connection.isClosedByPeer()) {
                pause(Duration.ofMillis(10));
            }
            run.dropped = true;
            return false;
        }
        return request.header("X-Events").isEmpty()
                ? plain(request, connection, run, headers, way)
                : stream(request, connection, run, headers, way);
    }

    private boolean plain(
            Request request, Connection connection, Run run, String headers, Spoil way)
            throws IOException {
        pause(spec.eventTime());
        byte[] body = ("done " + request.uri()).getBytes(StandardCharsets.UTF_8);
        run.complete = true;
        if (way == Spoil.TRUNCATE) {
            connection.write("HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 1000\r\n\r\nhalf");
            return false;
        }
        connection.answer(200, headers, body);
        if (way == Spoil.EXTRA_ANSWER) {
            connection.answer(200, headers, "again".getBytes(StandardCharsets.UTF_8));
        }
        return true;
    }

    private boolean stream(
            Request request, Connection connection, Run run, String headers, Spoil way)
            throws IOException {
        int total = Integer.parseInt(request.header("X-Events"));
        int first = run.lastEventId().isEmpty() ? 1 : Integer.parseInt(run.lastEventId()) + 1;
        connection.write(
                "HTTP/1.1 200 OK\r\n"
                        + headers
                        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = first; event <= total; event++) {
            pause(spec.eventTime());
            if (connection.isClosedByPeer()) {
                run.dropped = true;
                return false;
            }
            if (way == Spoil.TRUNCATE && event > first) {
                connection.chunk("id: " + event + "\nda");
                connection.resetOnClose();
                return false;
            }
            connection.chunk("id: " + event + "\ndata: " + text(run.requestId(), event) + "\n\n");
            run.events = event;
        }
        run.complete = true;
        connection.write("0\r\n\r\n");
        return true;
    }

    /** Returns the data of an event, the same in each run of a request. */
    public static String text(String requestId, int event) {
        return requestId + "-" + event;
    }

    private void pause(Duration time) {
        try {
            Thread.sleep(time);
            while (dark) {
                Thread.sleep(5);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
