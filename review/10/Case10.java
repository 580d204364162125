package fuchsiareview2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A machine is added whose seeds are stale. All gateways together must keep the usage cap of a
 * tenant all the same.
 */
final class Case10 {

    private static final int PER_S = 40;
    private static final int BURST = 10;
    private static final double EXCESS = 0.1;
    private static final int SLACK = 20;
    private static final int WINDOW_S = 5;
    private static final double ALLOWED = (PER_S * WINDOW_S + BURST) * (1 + EXCESS) + SLACK;
    private static final String KEY = "key-of-the-guest-house";
    private static final int ADDED = 3;
    private static final int SECONDS = 60;

    private Case10() {}

    public static void main(String[] arguments) {
        Setup.run(arguments, Case10::run);
    }

    private static int run(Path root, Path temporary, boolean trouble) throws Exception {
        int storePort = Setup.freePort(Setup.STORE_IP);
        Platform store = new Platform(Setup.STORE_IP, storePort, 6, 25, 80);
        Map<String, Long> sent = new ConcurrentHashMap<>();
        Map<String, Long> ran = new ConcurrentHashMap<>();
        Server.Watch watch =
                (server, id, what) -> {
                    if (what.startsWith("run from")) {
                        ran.putIfAbsent(id, System.nanoTime());
                    }
                };
        for (int engine = 1; engine <= 4; engine++) {
            String ip = "127.45.2." + engine;
            int port = Setup.freePort(ip);
            new Server(store, "i-" + engine, "llm", ip, port, 8, 101_495, 2, 1, 60, 5, watch);
        }
        store.put("op", "config", config());
        try (Gateways gateways =
                new Gateways(root, temporary, 4, Setup.STORE_IP + ":" + storePort, store)) {
            if (trouble) {
                gateways.setSeeds(ADDED, List.of("127.45.9.1", "127.45.9.2", "127.45.9.3"));
            }
            for (int index = 0; index < ADDED; index++) {
                gateways.start(index);
            }
            Platform.sleep(5000);
            Notes.line("gateway %d is added, its seeds are %s", ADDED, trouble ? "stale" : "good");
            gateways.start(ADDED);
            if (!gateways.awaitReady(30)) {
                return Setup.NOT_RUN;
            }
            send(gateways, sent, ran);
        }
        return judge(sent, ran);
    }

    private static String config() {
        Map<String, Object> route = new LinkedHashMap<>(Setup.batchRoute("llm", 1));
        route.put("name", "r-guest");
        route.put("host", "guest.example");
        route.put("pathPrefix", "/guest/");
        route.put("kind", "streaming");
        route.put("timeoutMs", 5000L);
        route.put("goalMs", 300L);
        route.put("priority", 0L);
        route.put("resumable", false);
        Map<String, Object> tenant = new LinkedHashMap<>();
        tenant.put("name", "guest-house");
        tenant.put("apiKeys", List.of(KEY));
        tenant.put("perS", (long) PER_S);
        tenant.put("burst", (long) BURST);
        Map<String, Object> config =
                Js.map(
                        Js.read(
                                Setup.config(
                                        7,
                                        List.of(route),
                                        List.of(Setup.service("llm", 8, 101_495)))));
        config.put("tenants", List.of(tenant));
        return Js.write(config);
    }

    /** Sends about 25 requests a second to each gateway, 100 in all. */
    private static void send(Gateways gateways, Map<String, Long> sent, Map<String, Long> ran) {
        AtomicBoolean going = new AtomicBoolean(true);
        AtomicLong number = new AtomicLong();
        Map<Integer, AtomicInteger> statuses = new ConcurrentHashMap<>();
        List<Thread> threads = new ArrayList<>();
        for (int client = 0; client < 4 * gateways.count(); client++) {
            int gateway = client % gateways.count();
            int perGateway = gateway == ADDED ? 60 : 25;
            threads.add(
                    Thread.ofVirtual()
                            .start(
                                    () -> {
                                        while (going.get()) {
                                            String id =
                                                    String.format(
                                                            "%d%015x",
                                                            gateway, number.incrementAndGet());
                                            int status = request(gateways, gateway, id, sent);
                                            statuses.computeIfAbsent(
                                                            gateway * 1000 + status,
                                                            key -> new AtomicInteger())
                                                    .incrementAndGet();
                                            Platform.sleep(4000 / perGateway);
                                        }
                                    }));
        }
        for (int second = 0; second < SECONDS; second++) {
            Platform.sleep(1000);
            if (second % 5 == 4) {
                Notes.line("by gateway*1000+status: %s; ran %d", statuses, ran.size());
            }
        }
        going.set(false);
        threads.forEach(
                thread -> {
                    try {
                        thread.join(6000);
                    } catch (InterruptedException interrupted) {
                        throw new IllegalStateException(interrupted);
                    }
                });
    }

    private static int request(
            Gateways gateways, int gateway, String id, Map<String, Long> sent) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "guest.example");
        headers.put("Attempt-Id", id);
        headers.put("Authorization", "Bearer " + KEY);
        headers.put("Model", "m");
        headers.put("Token-Count", "350,26");
        headers.put("Prompt-Prefix", "5c1e07a2:200," + id + ":150");
        headers.put("Deadline-Ms", "5000");
        try {
            sent.put(id, System.nanoTime());
            return Net.call(
                            gateways.ip(gateway),
                            gateways.base,
                            "POST /guest/1",
                            headers,
                            "hello".getBytes(),
                            6000)
                    .status();
        } catch (IOException failure) {
            return 0;
        }
    }

    /** Looks for the 5 s in which most requests were both sent and began to run. */
    private static int judge(Map<String, Long> sent, Map<String, Long> ran) {
        List<String> ids = new ArrayList<>(ran.keySet());
        ids.sort((a, b) -> Long.compare(ran.get(a), ran.get(b)));
        long window = WINDOW_S * 1_000_000_000L;
        Deque<String> inside = new ArrayDeque<>();
        int most = 0;
        for (String id : ids) {
            inside.add(id);
            while (ran.get(id) - ran.get(inside.peek()) >= window) {
                inside.remove();
            }
            long from = ran.get(id) - window;
            int count = (int) inside.stream().filter(other -> sent.get(other) > from).count();
            most = Math.max(most, count);
        }
        Notes.line(
                "%d requests were sent, %d ran; most in 5 s: %d, allowed %.0f",
                sent.size(), ran.size(), most, ALLOWED);
        if (ran.size() < PER_S * SECONDS / 2) {
            return Setup.NOT_RUN;
        }
        return most > ALLOWED ? Setup.BROKEN : Setup.HELD;
    }
}
