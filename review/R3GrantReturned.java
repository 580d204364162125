import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/** Two gateways are cut off from each other for a moment while batch slots are granted. */
final class R3GrantReturned {
    private static final int EVENTS = 15;
    private static final int ITEMS = 30;

    public static void main(String[] args) throws Exception {
        R3Kit kit = new R3Kit(Path.of(args[0]));
        String first = kit.net + "11";
        String second = kit.net + "12";
        // Two ranges of ports, so that the channels between the gateways pass through proxies.
        int[] ports = kit.freePorts(8);
        R3Kit.Proxy toSecond = new R3Kit.Proxy(second, ports[0], second, ports[4]);
        R3Kit.Proxy toFirst = new R3Kit.Proxy(first, ports[4], first, ports[0]);
        kit.others.add(toSecond);
        kit.others.add(toFirst);
        kit.configure(
                7,
                R3Kit.batchRoute("huvo11a")
                        + ",{\"name\":\"r-hint\",\"host\":\"" + R3Kit.HOST + "\",\"pathPrefix\":\"/lohu930/\",\"kind\":\"streaming\","
                        + "\"timeoutMs\":5000,\"goalMs\":300,\"priority\":0,\"service\":\"huvo11a\",\"attempts\":1,"
                        + "\"sticky\":true,\"resumable\":false,\"gapTargetMs\":250}",
                R3Kit.modelService("huvo11a", 4));
        for (int number = 1; number <= 2; number++) {
            kit.new Engine("i-engine" + number, "huvo11a", "kz-a", 4, 0.1, kit.net + (20 + number));
        }
        List<String> seeds = List.of(first, second);
        // The first machine is three times as large, so it coordinates the slots.
        kit.new Gateway("front-1", first, "kz-a", 0.75, ports[0], seeds, kit.store.address());
        R3Kit.Gateway two = kit.new Gateway("front-2", second, "kz-a", 0.25, ports[4], seeds, kit.store.address());
        kit.awaitReady();
        R3Kit.sleep(4);
        // Five short streams a second at the second gateway, for twelve seconds.
        AtomicInteger streams = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        double streamsEnd = R3Kit.now() + 12;
        Thread.startVirtualThread(
                () -> {
                    while (R3Kit.now() < streamsEnd) {
                        String id = String.format("abcd%012x", streams.incrementAndGet());
                        Thread.startVirtualThread(
                                () -> {
                                    R3Kit.Answer answer =
                                            kit.call(second, "POST", "/lohu930/2f",
                                                    Map.of("Attempt-Id", id, "Model", "m", "Token-Count", "350,52",
                                                            "Prompt-Prefix", "5c1e07a2:100," + id + ":250", "Deadline-Ms", "5000"),
                                                    "hint".getBytes(), 5);
                                    served.addAndGet(answer.status() == 200 ? 1 : 0);
                                });
                        R3Kit.sleep(0.2);
                    }
                });
        R3Kit.sleep(2);
        String jobOne = "1111aaaa1111aaaa";
        String jobTwo = "2222bbbb2222bbbb";
        double begin = R3Kit.now();
        boolean accepted = kit.submit(List.of(first), jobOne, R3Kit.job(jobOne, 8, EVENTS));
        R3Kit.until(begin + 0.4);
        accepted &= kit.submit(List.of(second), jobTwo, R3Kit.job(jobTwo, ITEMS, EVENTS));
        if (!accepted) {
            kit.cannotRun("a job was not accepted");
        }
        if (kit.trouble) {
            // The items of the first job end in the middle of this time.
            R3Kit.until(begin + 1.15);
            kit.note("nothing passes between the gateways, " + (toSecond.hold() + toFirst.hold()) + " channels");
            R3Kit.until(begin + 2.35);
            toSecond.resume();
            toFirst.resume();
            kit.note("everything passes between the gateways, and what was held up arrives");
        }
        R3Kit.until(streamsEnd);
        kit.note("no more requests; streams served: " + served.get() + " of " + streams.get());
        for (int round = 0; round < 6; round++) {
            R3Kit.sleep(4);
            kit.note("listed: " + kit.results(first, jobOne).size() + " of 8, " + kit.results(first, jobTwo).size()
                    + " of " + ITEMS + "; running at engines: " + kit.engines.stream().mapToInt(engine -> engine.running.get()).sum());
        }
        Set<String> done = new HashSet<>();
        for (JsonNode result : kit.results(second, jobTwo)) {
            done.add(result.path("id").asText());
        }
        two.logLines("slots:").forEach(line -> kit.detail("log of front-2: " + line));
        two.logLines("peer:").forEach(line -> kit.detail("log of front-2: " + line));
        kit.finish(done.size() < ITEMS, done.size() + " of " + ITEMS + " items listed 24 s after the last request, engines idle");
    }
}
