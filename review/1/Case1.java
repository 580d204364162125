import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import standins.Engine;
import standins.Fleet;
import standins.Jobs;

/** A configuration adds a route below the prefix of the batch route; accepted items end as dead letters. */
public final class Case1 {

    private static final int GATEWAYS = 3;
    private static final int EVENTS = 165;

    public static void main(String[] args) {
        Fleet.run(GATEWAYS, args[0], Case1::play);
    }

    private static int play(Fleet fleet, boolean trouble) throws Exception {
        for (int number = 0; number < 3; number++) {
            fleet.addEngine("model", 8, 30);
        }
        String batch = Jobs.route(1_400_000);
        fleet.configure(7, batch);
        for (int gateway = 1; gateway <= GATEWAYS; gateway++) {
            fleet.startGateway(gateway);
        }
        if (!fleet.awaitReady(20_000)) {
            fleet.log("the gateways aren't ready: the case can't run");
            return 2;
        }
        Thread.sleep(4000);
        Jobs clients = new Jobs(fleet, 1);
        clients.directory = "studio/";
        List<Jobs.Job> jobs = new ArrayList<>();
        for (int number = 0; number < 8; number++) {
            Jobs.Job job = clients.create(10, 15_000, 350, EVENTS, "p" + number);
            clients.submit(job, number % GATEWAYS + 1, GATEWAYS, 4000);
            jobs.add(job);
        }
        jobs.removeIf(job -> !job.isAccepted());
        if (jobs.size() < 8) {
            fleet.log("too few batch jobs were accepted: the case can't run");
            return 2;
        }
        double accepted = fleet.seconds();
        Thread.sleep(3000);
        if (trouble) {
            fleet.configure(11, batch, "{\"name\":\"r-studio\",\"host\":\"" + Fleet.HOST + "\",\"pathPrefix\":\"" + Jobs.PREFIX
                    + "studio/\",\"kind\":\"safe\",\"timeoutMs\":5000,\"goalMs\":300,\"priority\":0,\"service\":\"model\",\"attempts\":2}");
            fleet.log("version 11 is in the store: the batch route as before, and a new route %sstudio/", Jobs.PREFIX);
        }
        // The jobs' 80 items take about 20 s; retentionS is 60.
        double end = accepted + 40;
        boolean done = false;
        while (!done && fleet.seconds() < end) {
            Thread.sleep(1000);
            done = true;
            for (int number = 0; number < jobs.size(); number++) {
                clients.read(jobs.get(number), number % GATEWAYS + 1);
                done &= jobs.get(number).isDone();
            }
        }
        Map<String, Integer> states = new TreeMap<>();
        int wrong = 0;
        for (Jobs.Job job : jobs) {
            for (Jobs.Item item : job.items) {
                String state = job.states.getOrDefault(item.id, "not listed");
                states.merge(state, 1, Integer::sum);
                if (state.equals("completed") && !job.texts.get(item.id).equals(Engine.text(item.id, EVENTS))) {
                    states.merge("completed with a wrong text", 1, Integer::sum);
                    wrong++;
                }
                if (state.equals("dead_letter")) {
                    fleet.log("item %s of job %s: dead_letter %.1f s after its job was accepted", item.id, job.id,
                            fleet.seconds() - job.acceptedAt);
                    wrong++;
                }
            }
        }
        fleet.recordLog(".*route removed.*", 3);
        fleet.log("%s, %.1f s after the last 202; engines answered no 422 and no 500, no job was ended, the batch route is in all versions",
                states, fleet.seconds() - accepted);
        fleet.log(wrong > 0 ? "MIXED is broken" : "the rule held");
        return wrong > 0 ? 1 : 0;
    }
}
