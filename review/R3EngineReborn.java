import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** An engine is cut off from the gateways, crashes behind the cut, and starts again under the id that it had. */
final class R3EngineReborn {
    private static final int ITEMS = 8;
    private static final int EVENTS = 50;

    /** Seconds after which the engine is there again. The gateways find the silence after 0.7 s. */
    private static final double RESTART = Double.parseDouble(System.getenv().getOrDefault("RESTART", "0.3"));

    public static void main(String[] args) throws Exception {
        R3Kit kit = new R3Kit(Path.of(args[0]));
        String first = kit.net + "11";
        String second = kit.net + "12";
        int[] ports = kit.freePorts(6);
        String engineIp = kit.net + 21;
        String proxyIp = kit.net + 22;
        R3Kit.Proxy proxy = new R3Kit.Proxy(proxyIp, ports[4], engineIp, ports[5]);
        kit.others.add(proxy);
        kit.configure(7, R3Kit.batchRoute("huvo11a"), R3Kit.modelService("huvo11a", ITEMS));
        String address = proxyIp + ":" + ports[4];
        R3Kit.Engine engine = kit.new Engine("i-engine1", "huvo11a", "kz-a", ITEMS, 0.1, engineIp, ports[5], address);
        List<String> ips = List.of(first, second);
        kit.new Gateway("front-1", first, "kz-a", 0.75, ports[0], ips, kit.store.address());
        kit.new Gateway("front-2", second, "kz-a", 0.75, ports[0], ips, kit.store.address());
        kit.awaitReady();
        R3Kit.sleep(4);
        String job = "1111aaaa1111aaaa";
        double begin = R3Kit.now();
        if (!kit.submit(List.of(first), job, R3Kit.job(job, ITEMS, EVENTS))) {
            kit.cannotRun("the job was not accepted");
        }
        R3Kit.sleep(2);
        if (kit.trouble) {
            kit.note("the engine is cut off and crashes, " + proxy.cut() + " connections, " + engine.running.get() + " runs");
            engine.crash();
            R3Kit.sleep(RESTART);
            kit.new Engine("i-engine1", "huvo11a", "kz-a", ITEMS, 0.1, engineIp, ports[5], address);
            kit.note("it starts again under its id");
            R3Kit.sleep(0.2);
            proxy.resume();
            kit.note("the cut is over");
        }
        double check = begin + 30;
        int listed = 0;
        while (R3Kit.now() < check) {
            R3Kit.sleep(4);
            listed = kit.results(second, job).size();
            kit.note("listed: " + listed + " of " + ITEMS + "; running at engines: "
                    + kit.engines.get(kit.engines.size() - 1).running.get());
        }
        boolean broken = listed < ITEMS;
        if (broken) {
            // What becomes of them: retentionS is 60.
            R3Kit.until(begin + 66);
        }
        Map<String, Integer> states = new TreeMap<>();
        for (JsonNode result : kit.results(second, job)) {
            states.merge(result.path("state").asText(), 1, Integer::sum);
        }
        kit.note(String.format(java.util.Locale.ROOT, "%.0f s after the job: %s", R3Kit.now() - begin, states));
        kit.gateways.forEach(
                gateway -> {
                    for (String part : List.of("batch:", "target", "slots:")) {
                        gateway.logLines(part).forEach(line -> kit.detail("log of " + gateway.name + ": " + line));
                    }
                });
        kit.finish(broken, listed + " of " + ITEMS + " items listed 30 s after the job was accepted, the engine idle");
    }
}
