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
 * A configuration moves the batch route to a service with smaller engines for a few seconds, and
 * back. Accepted items must not become dead letters by that.
 */
final class Case8 {

    private static final long LARGE = 101_495;
    private static final long SMALL = 32_000;
    private static final int ITEMS = 16;
    private static final int EVENTS = 100;
    private static final int EVENT_MS = 30;
    private static final int EVENT_BYTES = 95;

    private Case8() {}

    public static void main(String[] arguments) {
        Setup.run(arguments, Case8::run);
    }

    private static int run(Path root, Path temporary, boolean trouble) throws Exception {
        int storePort = Setup.freePort(Setup.STORE_IP);
        Platform store = new Platform(Setup.STORE_IP, storePort, 6, 25, 80);
        Set<String> ended = ConcurrentHashMap.newKeySet();
        Server.Watch watch =
                (server, id, what) -> {
                    Notes.line("engine %s, item %s: %s", server, id, what);
                    if (what.equals("done")) {
                        ended.add(id);
                    }
                };
        server(store, "i-large-1", "large", "127.45.2.1", LARGE, watch);
        server(store, "i-large-2", "large", "127.45.2.2", LARGE, watch);
        server(store, "i-small-1", "small", "127.45.2.3", SMALL, watch);
        List<Object> services =
                List.of(Setup.service("large", 2, LARGE), Setup.service("small", 2, SMALL));
        store.put("op", "config", config(7, "large", services));
        try (Gateways gateways =
                new Gateways(root, temporary, 3, Setup.STORE_IP + ":" + storePort, store)) {
            for (int index = 0; index < gateways.count(); index++) {
                gateways.start(index);
            }
            if (!gateways.awaitReady(30)) {
                Notes.line("the gateways are not ready");
                return Setup.NOT_RUN;
            }
            Platform.sleep(3000);
            Lots lots = new Lots(gateways);
            List<String> items = new ArrayList<>();
            for (int item = 0; item < ITEMS; item++) {
                items.add(String.format("e5b2907c14da6%03d", item));
            }
            String job = "7c41e09b52d6a3f8";
            byte[] body = Lots.submission(items, "40000,1300", 41_300, 2000);
            if (!lots.submitAnywhere(job, body, 4000, 5)) {
                return Setup.NOT_RUN;
            }
            Platform.sleep(2000);
            if (trouble) {
                Notes.line("operator: version 9 moves the route to the service small");
                store.put("op", "config", config(9, "small", services));
                Platform.sleep(4000);
                Notes.line("operator: version 12 moves the route back");
                store.put("op", "config", config(12, "large", services));
            }
            return results(lots, job, items, ended);
        }
    }

    private static void server(
            Platform store,
            String id,
            String service,
            String ip,
            long memory,
            Server.Watch watch)
            throws Exception {
        new Server(
                store,
                id,
                service,
                ip,
                Setup.freePort(ip),
                2,
                memory,
                EVENTS,
                EVENT_MS,
                EVENT_BYTES,
                60,
                watch);
    }

    private static String config(long version, String service, List<Object> services) {
        return Setup.config(version, List.of(Setup.batchRoute(service, 3)), services);
    }

    /** Reads the job until all items are listed, 45 s at most: well before `retentionS` of 60 s. */
    private static int results(Lots lots, String job, List<String> items, Set<String> ended) {
        Map<String, String> states = new HashMap<>();
        Set<String> wrong = new HashSet<>();
        long end = System.nanoTime() + 45_000_000_000L;
        int next = 0;
        while (states.size() < items.size() && System.nanoTime() < end) {
            Map<String, Object> page = lots.read(next % 3, job, next);
            for (Object entry : Js.list(page == null ? null : page.get("results"))) {
                Map<String, Object> result = Js.map(entry);
                String item = Js.str(result.get("id"));
                String state = Js.str(result.get("state"));
                states.put(item, state);
                Notes.line("position %d: item %s %s", next, item, state);
                boolean whole =
                        Js.str(result.get("text"))
                                .equals(Server.wholeText(item, EVENTS, EVENT_BYTES));
                if (state.equals("dead_letter") || !whole) {
                    wrong.add(item);
                }
                next++;
            }
            Platform.sleep(500);
        }
        Notes.line(
                "%d of %d items listed, %d of them dead_letter or not whole; engines finished %d",
                states.size(), items.size(), wrong.size(), ended.size());
        if (states.size() < items.size() && wrong.isEmpty()) {
            return Setup.NOT_RUN;
        }
        return wrong.isEmpty() ? Setup.HELD : Setup.BROKEN;
    }
}
