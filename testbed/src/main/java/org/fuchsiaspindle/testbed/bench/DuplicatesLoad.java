package org.fuchsiaspindle.testbed.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import org.fuchsiaspindle.testbed.emulator.EmulatorClient;
import org.fuchsiaspindle.testbed.emulator.EmulatorJobs;
import org.fuchsiaspindle.testbed.emulator.PlatformEmulator;

/**
 * A seeded mix of online requests and batch jobs. Every request is sent once, on a connection of
 * its own. Not thread-safe.
 */
final class DuplicatesLoad {

    /** Number of events of each stream and of each batch item. */
    static final int EVENTS = 6;

    /** How long a client waits for the answer to an online request. */
    static final Duration REQUEST_LIMIT = Duration.ofMillis(1000);

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_CONCURRENT_REQUESTS = 24;
    private static final int REQUESTS_PER_JOB = 100;
    private static final int ITEMS = 5;
    private static final int LONG_BODY_BYTES = 100 * 1024;
    private static final double LONG_BODY_SHARE = 0.25;
    private static final double HEAD_SHARE = 0.4;

    /** Time after submission within which all results of a job are due. */
    private static final Duration JOB_LIMIT = Duration.ofSeconds(6);

    private static final Duration READ_INTERVAL = Duration.ofMillis(100);

    /** A kind of online request, with its route. */
    enum Kind {
        SAFE("/check/", "safe", 4, "", true),
        UNSAFE("/order/", "unsafe", 1, "", false),
        STREAM("/hint/", "streaming", 1, "", false),
        RESUMABLE_STREAM("/resume/", "streaming", 4, ",\"resumable\":true", true);

        private final String prefix;
        private final String routeKind;
        private final int attempts;
        private final String fields;
        private final boolean idempotent;

        Kind(String prefix, String routeKind, int attempts, String fields, boolean idempotent) {
            this.prefix = prefix;
            this.routeKind = routeKind;
            this.attempts = attempts;
            this.fields = fields;
            this.idempotent = idempotent;
        }

        /** Returns whether a request may run more than once. */
        boolean isIdempotent() {
            return idempotent;
        }

        /** Returns whether the answer is a stream of events. */
        boolean isStream() {
            return routeKind.equals("streaming");
        }
    }

    /** An online request. */
    private record OnlineRequest(String id, Kind kind, String method, String body) {}

    /**
     * What the caller of an online request got.
     *
     * @param id the identifier of the request
     * @param kind its kind
     * @param isHead whether its method is HEAD
     * @param response the response, with status 0 if the connection was closed without one
     * @param elapsed time until the response was complete
     * @param endNanos when the response was complete, from {@link System#nanoTime()}
     */
    record Outcome(
            String id,
            Kind kind,
            boolean isHead,
            EmulatorClient.Response response,
            Duration elapsed,
            long endNanos) {

        /** Returns whether the caller got a complete success. */
        boolean isSuccess() {
            return response.status() == 200 && response.complete();
        }
    }

    /**
     * What the reader of a batch job got for one item.
     *
     * @param id the identifier of the item
     * @param state {@code completed}, {@code dead_letter}, or empty if it was not listed in time
     * @param text the result, empty if there is none
     * @param endNanos when it was read, from {@link System#nanoTime()}
     */
    record ItemOutcome(String id, String state, String text, long endNanos) {}

    private final List<EmulatorClient> clients;
    private final Random random;
    private final int requests;
    private final List<Outcome> outcomes = new CopyOnWriteArrayList<>();
    private final List<ItemOutcome> items = new ArrayList<>();

    private DuplicatesLoad(List<EmulatorClient> clients, long seed, int requests) {
        this.clients = List.copyOf(clients);
        this.random = new Random(seed);
        this.requests = requests;
    }

    /**
     * Creates a load.
     *
     * @param clients clients of the gateways, used in turn
     * @param seed the random seed
     * @param requests number of online requests
     */
    static DuplicatesLoad of(List<EmulatorClient> clients, long seed, int requests) {
        return new DuplicatesLoad(clients, seed, requests);
    }

    /** Returns the routes that the load uses, as JSON. */
    static String[] routes() {
        List<String> routes = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            String service = kind.isStream() ? PlatformEmulator.MODEL : PlatformEmulator.PLAIN;
            routes.add(
                    PlatformEmulator.route(
                            kind.name(),
                            kind.prefix,
                            kind.routeKind,
                            service,
                            kind.attempts,
                            kind.fields));
        }
        String batchFields =
                ",\"deadlineMs\":" + JOB_LIMIT.toMillis() + ",\"retentionS\":60,\"maxQueued\":0";
        routes.add(
                PlatformEmulator.route(
                        "batch", "/batch/", "batch", PlatformEmulator.MODEL, 4, batchFields));
        return routes.toArray(String[]::new);
    }

    /** Returns whether a gateway serves requests of all kinds. */
    static boolean isServing(EmulatorClient client) {
        return Stream.of(Kind.values())
                .map(kind -> new OnlineRequest("probe", kind, "POST", ""))
                .allMatch(probe -> send(probe, client).isSuccess());
    }

    /** Sends all requests, and waits until they have ended and all jobs are listed or overdue. */
    void run() throws IOException, InterruptedException {
        long submittedNanos = System.nanoTime();
        int jobs = Math.max(2, requests / REQUESTS_PER_JOB);
        for (int job = 0; job < jobs; job++) {
            String body = EmulatorJobs.submission(jobId(job), ITEMS, EVENTS);
            client(job).call("POST", "/batch/x", headers(jobId(job)), body);
        }
        sendAll();
        for (int job = 0; job < jobs; job++) {
            readJob(job, submittedNanos + JOB_LIMIT.multipliedBy(2).toNanos());
        }
    }

    /** Returns what the callers of online requests got. */
    List<Outcome> outcomes() {
        return List.copyOf(outcomes);
    }

    /** Returns what the readers of batch jobs got. */
    List<ItemOutcome> items() {
        return List.copyOf(items);
    }

    private void sendAll() throws InterruptedException {
        Queue<OnlineRequest> queue = new ConcurrentLinkedQueue<>();
        for (int number = 0; number < requests; number++) {
            queue.add(nextRequest(number));
        }
        List<Thread> senders = new ArrayList<>();
        for (int sender = 0; sender < MAX_CONCURRENT_REQUESTS; sender++) {
            EmulatorClient client = client(sender);
            senders.add(Thread.startVirtualThread(() -> sendFrom(queue, client)));
        }
        for (Thread sender : senders) {
            sender.join();
        }
    }

    private OnlineRequest nextRequest(int number) {
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        boolean isHead = kind == Kind.SAFE && random.nextDouble() < HEAD_SHARE;
        boolean isLong = !isHead && random.nextDouble() < LONG_BODY_SHARE;
        return new OnlineRequest(
                "r" + number,
                kind,
                isHead ? "HEAD" : "POST",
                isHead ? "" : "x".repeat(isLong ? LONG_BODY_BYTES : 5));
    }

    private void sendFrom(Queue<OnlineRequest> queue, EmulatorClient client) {
        for (OnlineRequest next = queue.poll(); next != null; next = queue.poll()) {
            outcomes.add(send(next, client));
        }
    }

    private static Outcome send(OnlineRequest request, EmulatorClient client) {
        Map<String, String> headers = new HashMap<>(headers(request.id()));
        if (request.kind().isStream()) {
            headers.put("X-Events", String.valueOf(EVENTS));
        }
        long startNanos = System.nanoTime();
        EmulatorClient.Response response;
        try {
            String path = request.kind().prefix + request.id();
            response = client.call(request.method(), path, headers, request.body());
        } catch (IOException failure) {
            response = new EmulatorClient.Response(0, Map.of(), "", false);
        }
        long endNanos = System.nanoTime();
        return new Outcome(
                request.id(),
                request.kind(),
                request.method().equals("HEAD"),
                response,
                Duration.ofNanos(endNanos - startNanos),
                endNanos);
    }

    private void readJob(int job, long limitNanos) throws IOException {
        JsonNode results = JSON.createArrayNode();
        while (results.size() < ITEMS && System.nanoTime() - limitNanos < 0) {
            Waiting.pause(READ_INTERVAL);
            String body =
                    client(job).call("GET", "/lots/" + jobId(job), headers("read"), "").body();
            results = body.isEmpty() ? results : JSON.readTree(body).path("results");
        }
        Map<String, JsonNode> byId = new HashMap<>();
        results.forEach(result -> byId.put(result.path("id").asText(), result));
        for (int item = 0; item < ITEMS; item++) {
            String id = EmulatorJobs.itemId(jobId(job), item);
            JsonNode result = byId.getOrDefault(id, JSON.createObjectNode());
            items.add(
                    new ItemOutcome(
                            id,
                            result.path("state").asText(),
                            result.path("text").asText(),
                            System.nanoTime()));
        }
    }

    private EmulatorClient client(int number) {
        return clients.get(number % clients.size());
    }

    private static String jobId(int job) {
        return "job" + job;
    }

    private static Map<String, String> headers(String id) {
        return Map.of("Attempt-Id", id, "Deadline-Ms", String.valueOf(REQUEST_LIMIT.toMillis()));
    }
}
