import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The engine of a service ends and comes back after a client has ended a batch job. */
final class R3EngineReturns {
    private static final int EVENTS = 15;
    private static final int SLOTS = 8;

    public static void main(String[] args) throws Exception {
        R3Kit kit = new R3Kit(Path.of(args[0]));
        String first = kit.net + "11";
        String second = kit.net + "12";
        int port = kit.freePorts(4)[0];
        kit.configure(7, R3Kit.batchRoute("huvo11a"), R3Kit.modelService("huvo11a", SLOTS));
        R3Kit.Engine engine = kit.new Engine("i-engine1", "huvo11a", "kz-a", SLOTS, 0.1, kit.net + 21);
        List<String> ips = List.of(first, second);
        kit.new Gateway("front-1", first, "kz-a", 0.75, port, ips, kit.store.address());
        kit.new Gateway("front-2", second, "kz-a", 0.75, port, ips, kit.store.address());
        kit.awaitReady();
        R3Kit.sleep(4);
        // The second gateway runs a job. Then a job of the first one takes all slots, and the client ends a
        // job of the second one that waits.
        String early = "1111aaaa1111aaaa";
        String full = "2222bbbb2222bbbb";
        String ended = "3333cccc3333cccc";
        String later = "4444dddd4444dddd";
        boolean accepted = kit.submit(List.of(second), early, R3Kit.job(early, 6, EVENTS));
        R3Kit.sleep(3);
        accepted &= kit.submit(List.of(first), full, R3Kit.job(full, SLOTS, 40));
        R3Kit.sleep(0.5);
        accepted &= kit.submit(List.of(second), ended, R3Kit.job(ended, 5, EVENTS));
        R3Kit.sleep(0.5);
        kit.note("end of " + ended + ": "
                + kit.call(second, "DELETE", "/lots/" + ended, Map.of(), new byte[0], 3).status());
        R3Kit.sleep(5);
        kit.note("listed: " + kit.results(first, early).size() + " of 6, " + kit.results(first, full).size() + " of " + SLOTS);
        if (!accepted) {
            kit.cannotRun("a job was not accepted");
        }
        if (kit.trouble) {
            engine.crash();
            kit.note("the engine has crashed");
            // Its entry goes after three intervals of silence.
            R3Kit.sleep(3.6);
            kit.store.remove("servers", engine.id);
            kit.note("its entry is removed");
            R3Kit.sleep(0.9);
            kit.new Engine("i-engine2", "huvo11a", "kz-a", SLOTS, 0.1, kit.net + 21);
            kit.note("the engine is back with a new id");
        } else {
            R3Kit.sleep(4.5);
        }
        R3Kit.sleep(2);
        if (!kit.submit(List.of(second), later, R3Kit.job(later, 6, EVENTS))) {
            kit.cannotRun("a job was not accepted");
        }
        int listed = 0;
        for (int round = 0; round < 6; round++) {
            R3Kit.sleep(5);
            Set<String> done = new HashSet<>();
            for (JsonNode result : kit.results(first, later)) {
                done.add(result.path("id").asText());
            }
            listed = done.size();
            kit.note("listed: " + listed + " of 6; running at engines: "
                    + kit.engines.stream().mapToInt(one -> one.running.get()).sum());
        }
        kit.finish(listed < 6, listed + " of 6 items listed 30 s after the job was accepted, the engine idle");
    }
}
