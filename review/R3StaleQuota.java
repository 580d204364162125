import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A gateway that was cut off for 12 s, up to three times, accepts batch jobs by what it knew before. */
final class R3StaleQuota {
    private static final int EVENTS = 100;
    private static final int ITEMS = 4;
    private static final int JOB_TOKENS = ITEMS * (350 + EVENTS * 13);
    private static final int MAX_QUEUED = 5 * JOB_TOKENS;

    public static void main(String[] args) throws Exception {
        R3Kit kit = new R3Kit(Path.of(args[0]));
        String first = kit.net + "11";
        String second = kit.net + "12";
        int[] ports = kit.freePorts(9);
        R3Kit.Proxy toSecond = new R3Kit.Proxy(second, ports[0], second, ports[4]);
        R3Kit.Proxy toFirst = new R3Kit.Proxy(first, ports[4], first, ports[0]);
        R3Kit.Proxy toStore = new R3Kit.Proxy(first, ports[8], kit.store.ip, kit.store.server.port());
        List<R3Kit.Proxy> proxies = List.of(toSecond, toFirst, toStore);
        kit.others.addAll(proxies);
        kit.configure(
                7,
                R3Kit.batchRoute("huvo11a").replace("\"maxQueued\":1400000", "\"maxQueued\":" + MAX_QUEUED),
                R3Kit.modelService("huvo11a", 8));
        // Each item takes 50 s, so that none is finished before the end.
        kit.new Engine("i-engine1", "huvo11a", "kz-a", 8, 0.5, kit.net + 21);
        List<String> seeds = List.of(first, second);
        kit.new Gateway("front-1", first, "kz-a", 0.75, ports[0], seeds, first + ":" + ports[8]);
        kit.new Gateway("front-2", second, "kz-a", 0.75, ports[4], seeds, kit.store.address());
        kit.awaitReady();
        R3Kit.sleep(4);
        int worst = 0;
        for (int round = 1; round <= 3 && worst <= MAX_QUEUED * 1.1; round++) {
            Set<String> accepted = ConcurrentHashMap.newKeySet();
            double begin = R3Kit.now();
            if (kit.trouble) {
                proxies.forEach(proxy -> proxy.refuse(true));
                proxies.forEach(R3Kit.Proxy::resetAll);
                kit.note("front-1 is cut off from the store and from front-2");
            }
            R3Kit.sleep(0.2);
            for (int number = 0; number < 6; number++) {
                send(kit, second, 1000 * round + number, accepted);
            }
            if (accepted.size() != 5) {
                kit.cannotRun(accepted.size() + " of 6 jobs were accepted at the other gateway");
            }
            // Clients send further jobs to the first gateway, thirty a second.
            R3Kit.until(begin + 11.5);
            boolean isCut = kit.trouble;
            for (int number = 100; number < 150; number++) {
                int job = 1000 * round + number;
                if (isCut && R3Kit.now() > begin + 12) {
                    isCut = false;
                    proxies.forEach(proxy -> proxy.refuse(false));
                    kit.note("front-1 reaches the store and front-2 again");
                }
                Thread.startVirtualThread(() -> send(kit, first, job, accepted));
                R3Kit.sleep(0.03);
            }
            R3Kit.sleep(5);
            worst = Math.max(worst, accepted.size() * JOB_TOKENS);
            for (String id : accepted) {
                int status = kit.call(second, "DELETE", "/lots/" + id, Map.of(), new byte[0], 3).status();
                kit.detail("end of " + id + ": " + status);
            }
            R3Kit.sleep(3);
        }
        kit.finish(
                worst > MAX_QUEUED * 1.1,
                worst + " tokens waited at a 202, " + MAX_QUEUED + " are allowed, with the excess " + (int) (MAX_QUEUED * 1.1));
    }

    private static void send(R3Kit kit, String ip, int number, Set<String> accepted) {
        String id = String.format("%08xbbbb2222", number + 1);
        R3Kit.Answer answer =
                kit.call(ip, "POST", "/pule252/7c41e0",
                        Map.of("Attempt-Id", id, "Content-Type", "application/json", "Deadline-Ms", "4000"),
                        R3Kit.job(id, ITEMS, EVENTS), 4);
        kit.detail("job " + id + " sent to " + ip + ": " + answer.status());
        if (answer.status() == 202) {
            accepted.add(id);
            int tokens = accepted.size() * JOB_TOKENS;
            kit.note("job " + id + " accepted at " + ip + ", " + tokens + " tokens wait");
        }
    }
}
