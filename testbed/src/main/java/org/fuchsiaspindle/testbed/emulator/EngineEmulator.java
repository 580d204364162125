package org.fuchsiaspindle.testbed.emulator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsiaspindle.testbed.emulator.BlockingHttpServer.Connection;
import org.fuchsiaspindle.testbed.emulator.BlockingHttpServer.Request;

/**
 * An emulated model engine or plain service with a fixed number of slots, a bounded queue and a
 * ledger that records its runs.
 *
 * <p>Request headers select the response: {@code X-Events} selects a stream of that many events,
 * {@code X-Fail} an error response with that status. Thread-safe.
 */
public final class EngineEmulator implements AutoCloseable {

    private static final int MAX_QUEUED = 24;

    /** One execution of a request. May be read by any thread. */
    public static final class Run {

        private final Request request;
        private final long startNanos = System.nanoTime();
        private volatile int events;
        private volatile boolean complete;
        private volatile boolean abandoned;

        Run(Request request) {
            this.request = request;
        }

        /** Returns a header of the request, an empty string if it is missing. */
        public String header(String name) {
            return request.header(name);
        }

        /** Returns the identifier of the request. */
        public String requestId() {
            return header("Attempt-Id");
        }

        /**
         * Returns the identifier of the event after which the run resumes, empty if it starts from
         * the first event.
         */
        public String lastEventId() {
            return header("Last-Event-Id");
        }

        /** Returns the start time of the run, from {@link System#nanoTime()}. */
        public long startNanos() {
            return startNanos;
        }

        /** Returns the number of the last event that the run sent. */
        public int events() {
            return events;
        }

        /** Returns whether the run produced its complete response. */
        public boolean isComplete() {
            return complete;
        }

        /** Returns whether the run was abandoned because its connection was closed. */
        public boolean isAbandoned() {
            return abandoned;
        }
    }

    /**
     * A request that arrived.
     *
     * @param requestId its identifier
     * @param nanos when it arrived, from {@link System#nanoTime()}
     */
    public record Arrival(String requestId, long nanos) {}

    /** Size of each half of a large body, in bytes. */
    public static final int LARGE_PART_BYTES = 300_000;

    /** Pause in the middle of a large body. */
    private static final Duration LONG_PAUSE = Duration.ofMillis(3200);

    /** A fault of the next response. */
    public enum ResponseFault {
        /** No fault. */
        NONE,
        /** Closes the connection in the middle of the response. */
        TRUNCATE,
        /** Sends a second response to the same request after the first. */
        EXTRA_RESPONSE,
        /** Executes the request, then resets the connection instead of responding. */
        RESET,
        /** Starts executing the request and never responds. */
        NO_RESPONSE,
        /** Sends a large body and pauses in its middle. */
        LARGE_WITH_PAUSE
    }

    /**
     * The properties of an engine.
     *
     * @param id the instance identifier
     * @param service the name of its service
     * @param dataCentre the data centre
     * @param slots the maximum number of concurrent runs
     * @param eventTime the processing time of each event, and of a response without events
     */
    public record Spec(
            String id, String service, String dataCentre, int slots, Duration eventTime) {}

    private final Spec spec;
    private final String ip;
    private final BlockingHttpServer server;
    private final Semaphore slots;
    private final AtomicInteger queued = new AtomicInteger();
    private final AtomicInteger maxActive = new AtomicInteger();
    private final AtomicInteger active = new AtomicInteger();
    private final List<Run> ledger = new CopyOnWriteArrayList<>();
    private volatile ResponseFault nextFault = ResponseFault.NONE;
    private volatile boolean unresponsive;
    private volatile String crashingPart = "";
    private volatile Duration crashTime = Duration.ZERO;
    private volatile Duration startTime = Duration.ZERO;
    private volatile String limitHeader = "";
    private volatile String leavingHeader = "";
    private volatile int incarnation = 1;
    private volatile Optional<DuplicateAnswers> duplicateAnswers = Optional.empty();
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final List<Long> crashNanos = new CopyOnWriteArrayList<>();

    private EngineEmulator(Spec spec, String ip) {
        this.spec = spec;
        this.ip = ip;
        this.slots = new Semaphore(spec.slots(), true);
        this.server = BlockingHttpServer.start(ip, 0, new RequestHandler());
    }

    /** Starts an engine on a free port of a loopback address. */
    public static EngineEmulator start(Spec spec, String ip) {
        return new EngineEmulator(spec, ip);
    }

    /** Returns the registration document of the engine, as JSON. */
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
                        incarnation)
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the properties of the engine. */
    public Spec spec() {
        return spec;
    }

    /** Returns a snapshot of all runs in order of their start. */
    public List<Run> ledger() {
        return List.copyOf(ledger);
    }

    /** Returns the number of runs in progress. */
    public int active() {
        return active.get();
    }

    /** Returns the number of requests that run or wait for a slot. */
    public int queuedRequests() {
        return queued.get();
    }

    /** Sets the fault of the next response; later responses are not affected. */
    public void failNextResponse(ResponseFault next) {
        nextFault = next;
    }

    /** Sets whether the engine is unresponsive, that is, accepts connections but never responds. */
    public void setUnresponsive(boolean newUnresponsive) {
        unresponsive = newUnresponsive;
        server.setPaused(newUnresponsive);
    }

    /**
     * Makes open connections silent for good, while new ones work; what runs on them goes on.
     *
     * @param share the share of the open connections, from 0 to 1
     * @return how many connections went silent
     */
    public int silenceConnections(double share) {
        return server.silenceConnections(share);
    }

    /** Sets how long each run takes before it sends anything. */
    public void setStartTime(Duration time) {
        startTime = time;
    }

    /**
     * Makes the engine crash when it starts to answer a request whose prompt has a part.
     *
     * @param part the identifier of the part, empty for none
     * @param time how long the engine is down after a crash
     */
    public void crashOnPart(String part, Duration time) {
        crashingPart = part;
        crashTime = time;
    }

    /** Announces in all answers how many requests a second the engine accepts; empty for none. */
    public void announceLimit(OptionalDouble requestsPerSecond) {
        limitHeader =
                requestsPerSecond.isPresent()
                        ? "Server-Limit: " + requestsPerSecond.getAsDouble() + "\r\n"
                        : "";
    }

    /** Sets whether all answers say that the engine is leaving. */
    public void announceLeaving(boolean leaving) {
        leavingHeader = leaving ? "Server-Leaving: 1\r\n" : "";
    }

    /** Makes the engine answer all later requests that have an identifier by a behaviour. */
    public void answerWith(DuplicateAnswers behaviour) {
        duplicateAnswers = Optional.of(behaviour);
    }

    /** Makes the engine a new incarnation at the same address, which is not leaving. */
    public void restart() {
        leavingHeader = "";
        incarnation++;
    }

    /** Returns all requests that arrived for this engine, also those that it refused. */
    public List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    /** Resets all connections and refuses new ones for some time. */
    public void crash(Duration time) {
        crashNanos.add(System.nanoTime());
        server.close();
        Thread.startVirtualThread(
                () -> {
                    pause(time);
                    server.reopen();
                });
    }

    /** Returns when the engine crashed, from {@link System#nanoTime()}. */
    public List<Long> crashes() {
        return List.copyOf(crashNanos);
    }

    @Override
    public void close() {
        server.close();
    }

    /** Handles requests; some are answered before their body is read. */
    private final class RequestHandler implements BlockingHttpServer.Handler {

        @Override
        public boolean handleHead(Request head, Connection connection) throws IOException {
            return duplicateAnswers.isPresent()
                    && isExpected(head)
                    && duplicateAnswers.get().answerEarly(head, connection);
        }

        @Override
        public boolean handle(Request request, Connection connection) throws IOException {
            return EngineEmulator.this.handle(request, connection);
        }
    }

    private boolean isExpected(Request request) {
        String expected = request.header("Expect-Instance");
        return expected.isEmpty() || expected.equals(spec.id());
    }

    private boolean handle(Request request, Connection connection) throws IOException {
        if (!isExpected(request)) {
            connection.respond(421, "Instance-Id: " + spec.id() + "\r\n", new byte[0]);
            return true;
        }
        arrivals.add(new Arrival(request.header("Attempt-Id"), System.nanoTime()));
        if (queued.incrementAndGet() > spec.slots() + MAX_QUEUED) {
            queued.decrementAndGet();
            connection.respond(503, "Not-Run: 1\r\n" + limitHeader + leavingHeader, new byte[0]);
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
        Run run = new Run(request);
        ledger.add(run);
        maxActive.accumulateAndGet(active.incrementAndGet(), Math::max);
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
        ResponseFault fault = nextFault;
        nextFault = ResponseFault.NONE;
        pause(startTime);
        if (hasCrashingPart(request)) {
            pause(spec.eventTime());
            crash(crashTime);
            return false;
        }
        if (duplicateAnswers.isPresent() && !run.requestId().isEmpty()) {
            return duplicateAnswers.get().answer(request, connection, spec.eventTime());
        }
        String headers =
                "Attempt-Id: "
                        + request.header("Attempt-Id")
                        + "\r\nServer-Stamp: stamp\r\n"
                        + limitHeader
                        + leavingHeader;
        if (!request.header("X-Fail").isEmpty()) {
            pause(spec.eventTime());
            run.complete = true;
            connection.respond(Integer.parseInt(request.header("X-Fail")), headers, new byte[0]);
            return true;
        }
        if (fault == ResponseFault.RESET) {
            pause(spec.eventTime());
            run.complete = true;
            connection.resetOnClose();
            return false;
        }
        if (fault == ResponseFault.NO_RESPONSE) {
            while (!connection.isClosedByPeer()) {
                pause(Duration.ofMillis(10));
            }
            run.abandoned = true;
            return false;
        }
        return request.header("X-Events").isEmpty()
                ? respondPlain(request, connection, run, headers, fault)
                : respondStream(request, connection, run, headers, fault);
    }

    private boolean hasCrashingPart(Request request) {
        return !crashingPart.isEmpty()
                && request.header("Prompt-Prefix").contains(crashingPart + ":");
    }

    private boolean respondPlain(
            Request request, Connection connection, Run run, String headers, ResponseFault fault)
            throws IOException {
        pause(spec.eventTime());
        byte[] body = ("done " + request.uri()).getBytes(StandardCharsets.UTF_8);
        run.complete = true;
        if (fault == ResponseFault.LARGE_WITH_PAUSE) {
            connection.write(
                    "HTTP/1.1 200 OK\r\n"
                            + headers
                            + "Content-Length: "
                            + 2 * LARGE_PART_BYTES
                            + "\r\n\r\n");
            connection.write("x".repeat(LARGE_PART_BYTES));
            pause(LONG_PAUSE);
            connection.write("x".repeat(LARGE_PART_BYTES));
            return true;
        }
        if (fault == ResponseFault.TRUNCATE) {
            connection.write("HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 1000\r\n\r\nhalf");
            return false;
        }
        connection.respond(200, headers, body);
        if (fault == ResponseFault.EXTRA_RESPONSE) {
            connection.respond(200, headers, "again".getBytes(StandardCharsets.UTF_8));
        }
        return true;
    }

    private boolean respondStream(
            Request request, Connection connection, Run run, String headers, ResponseFault fault)
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
                run.abandoned = true;
                return false;
            }
            if (fault == ResponseFault.TRUNCATE && event > first) {
                connection.chunk("id: " + event + "\nda");
                connection.resetOnClose();
                return false;
            }
            connection.chunk(
                    "id: " + event + "\ndata: " + eventData(run.requestId(), event) + "\n\n");
            run.events = event;
        }
        run.complete = true;
        connection.write("0\r\n\r\n");
        return true;
    }

    /** Returns the data of an event, which is the same in every run of a request. */
    public static String eventData(String requestId, int event) {
        return requestId + "-" + event;
    }

    private void pause(Duration time) {
        try {
            Thread.sleep(time);
            while (unresponsive) {
                Thread.sleep(5);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
