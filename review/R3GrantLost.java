import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Grants of batch slots are lost with a channel between two gateways. */
final class R3GrantLost {
    private static final int EVENTS = 15;

    public static void main(String[] args) throws Exception {
        R3Kit kit = new R3Kit(Path.of(args[0]));
        String first = kit.net + "11";
        String second = kit.net + "12";
        // Two ranges of ports, so that the channels between the gateways pass through proxies.
        int[] ports = kit.freePorts(8);
        int firstPort = ports[0];
        int secondPort = ports[4];
        R3Kit.Proxy toSecond = new R3Kit.Proxy(second, firstPort, second, secondPort);
        R3Kit.Proxy toFirst = new R3Kit.Proxy(first, secondPort, first, firstPort);
        kit.others.add(toSecond);
        kit.others.add(toFirst);
        kit.configure(7, R3Kit.batchRoute("huvo11a"), R3Kit.modelService("huvo11a", 4));
        for (int number = 1; number <= 2; number++) {
            kit.new Engine("i-engine" + number, "huvo11a", "kz-a", 4, 0.1, kit.net + (20 + number));
        }
        List<String> seeds = List.of(first, second);
        // The first machine is three times as large, so it coordinates the slots (as the log says).
        R3Kit.Gateway one = kit.new Gateway("front-1", first, "kz-a", 0.75, firstPort, seeds, kit.store.address());
        R3Kit.Gateway two = kit.new Gateway("front-2", second, "kz-a", 0.25, secondPort, seeds, kit.store.address());
        kit.awaitReady();
        R3Kit.sleep(4);
        String jobOne = "1111aaaa1111aaaa";
        String jobTwo = "2222bbbb2222bbbb";
        double begin = R3Kit.now();
        boolean accepted = kit.submit(List.of(first), jobOne, R3Kit.job(jobOne, 8, EVENTS));
        R3Kit.until(begin + 0.4);
        accepted &= kit.submit(List.of(second), jobTwo, R3Kit.job(jobTwo, 10, EVENTS));
        if (!accepted) {
            kit.cannotRun("a job was not accepted");
        }
        if (kit.trouble) {
            // The items of the first job end in the middle of this second.
            R3Kit.until(begin + 1.15);
            kit.note("nothing arrives on the channel from front-1 to front-2, " + toSecond.hold() + " open");
            R3Kit.until(begin + 2.15);
            toSecond.resetAll();
            kit.note("the channel from front-1 to front-2 is reset; new ones work");
        }
        for (int second5 = 0; second5 < 6; second5++) {
            R3Kit.sleep(5);
            kit.note("listed: " + kit.results(first, jobOne).size() + " of 8, " + kit.results(first, jobTwo).size()
                    + " of 10; running at engines: " + kit.engines.stream().mapToInt(engine -> engine.running.get()).sum());
        }
        Set<String> done = new HashSet<>();
        for (JsonNode result : kit.results(second, jobTwo)) {
            done.add(result.path("id").asText());
        }
        one.logLines("slots:").forEach(line -> kit.detail("log of front-1: " + line));
        two.logLines("slots:").forEach(line -> kit.detail("log of front-2: " + line));
        two.logLines("peer:").forEach(line -> kit.detail("log of front-2: " + line));
        kit.finish(done.size() < 10, done.size() + " of 10 items listed 30 s after the jobs were accepted, engines idle");
    }
}
