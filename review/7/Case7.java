package fuchsiareview2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Half of the open channels between three gateways go silent once, for good; new ones work. The
 * accepted batch jobs must be done all the same.
 */
final class Case7 {

    private static final long MEMORY = 101_495;
    private static final int JOBS = 9;
    private static final int ITEMS = 12;
    private static final int EVENTS = 165;
    private static final int EVENT_MS = 15;
    private static final int EVENT_BYTES = 95;
    private static final int FIRST_MS = 60;

    /** `finishS` of the sheets. */
    private static final int FINISH_S = 18;

    private Case7() {}

    public static void main(String[] arguments) {
        Setup.run(arguments, Case7::run);
    }

    private static int run(Path root, Path temporary, boolean trouble) throws Exception {
        int storePort = Setup.freePort(Setup.STORE_IP);
        Platform store = new Platform(Setup.STORE_IP, storePort, 6, 25, 80);
        Map<String, Long> lastRun = new ConcurrentHashMap<>();
        Server.Watch watch =
                (server, id, what) -> {
                    Notes.line("engine %s, item %s: %s", server, id, what);
                    lastRun.put(id, System.nanoTime());
                };
        for (int engine = 1; engine <= 3; engine++) {
            String ip = "127.45.2." + engine;
            new Server(
                    store,
                    "i-" + engine,
                    "llm",
                    ip,
                    Setup.freePort(ip),
                    8,
                    MEMORY,
                    EVENTS,
                    EVENT_MS,
                    EVENT_BYTES,
                    FIRST_MS,
                    watch);
        }
        store.put(
                "op",
                "config",
                Setup.config(
                        7,
                        List.of(Setup.batchRoute("llm", 3)),
                        List.of(Setup.service("llm", 8, MEMORY))));
        try (Gateways gateways =
                new Gateways(root, temporary, 3, Setup.STORE_IP + ":" + storePort, store)) {
            gateways.relayPeers();
            for (int index = 0; index < gateways.count(); index++) {
                gateways.start(index);
            }
            if (!gateways.awaitReady(30)) {
                Notes.line("the gateways are not ready");
                return Setup.NOT_RUN;
            }
            Platform.sleep(3000);
            Lots lots = new Lots(gateways);
            Map<String, List<String>> jobs = new HashMap<>();
            for (int number = 0; number < JOBS; number++) {
                List<String> items = new ArrayList<>();
                for (int item = 0; item < ITEMS; item++) {
                    items.add(String.format("e5b29%03d4da6f%03d", number, item));
                }
                String job = String.format("7c41e09b52d6a%03d", number);
                jobs.put(job, items);
                byte[] body = Lots.submission(items, "350,2145", 2495, 15_000);
                if (lots.submit(number % 3, job, body, 4000) != 202) {
                    return Setup.NOT_RUN;
                }
            }
            Platform.sleep(1000);
            if (trouble) {
                for (int from = 0; from < 3; from++) {
                    int to = (from + 1) % 3;
                    int count = gateways.relay(from, to).silenceOpenChannels();
                    Notes.line(
                            "gateway %d to gateway %d: %d open channels go silent, new ones work",
                            from, to, count);
                }
            }
            long traffic = System.nanoTime();
            return results(lots, jobs, lastRun, traffic + (FINISH_S + 10) * 1_000_000_000L);
        }
    }

    /** Reads until all items are listed, or until 10 s after `finishS` has passed. */
    private static int results(
            Lots lots, Map<String, List<String>> jobs, Map<String, Long> lastRun, long end) {
        Map<String, Integer> listed = new HashMap<>();
        Set<String> wrong = new HashSet<>();
        int open = JOBS * ITEMS;
        while (open > 0 && System.nanoTime() < end) {
            for (String job : jobs.keySet()) {
                int next = listed.getOrDefault(job, 0);
                Map<String, Object> page =
                        next == ITEMS ? null : lots.read(next % 3, job, next);
                for (Object entry : Js.list(page == null ? null : page.get("results"))) {
                    Map<String, Object> result = Js.map(entry);
                    String item = Js.str(result.get("id"));
                    Notes.line("job %s: item %s %s", job, item, result.get("state"));
                    if (!Js.str(result.get("text"))
                            .equals(Server.wholeText(item, EVENTS, EVENT_BYTES))) {
                        wrong.add(item);
                    }
                    listed.merge(job, 1, Integer::sum);
                    open--;
                }
            }
            Platform.sleep(500);
        }
        long now = System.nanoTime();
        long runs =
                lastRun.values().stream().filter(time -> now - time < 5_000_000_000L).count();
        Notes.line(
                "%d of %d items are not listed; %d results wrong; engines had %d items in the"
                        + " last 5 s",
                open, JOBS * ITEMS, wrong.size(), runs);
        if (open > 0) {
            return runs == 0 ? Setup.BROKEN : Setup.NOT_RUN;
        }
        return wrong.isEmpty() ? Setup.HELD : Setup.BROKEN;
    }
}
