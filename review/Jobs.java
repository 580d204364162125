package standins;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Clients of batch jobs: submit with repeats as the pages tell, read, and compare with what was sent. */
public final class Jobs {

    public static final String PREFIX = "/batch/";

    public static final class Item {
        public final String id;
        public final int events;

        Item(String id, int events) {
            this.id = id;
            this.events = events;
        }
    }

    public static final class Job {
        public final String id;
        public final List<Item> items = new ArrayList<>();
        public byte[] body;
        public volatile int acceptedBy;
        public volatile double acceptedAt;
        public final List<String> answers = new ArrayList<>();
        public final Map<String, String> states = new LinkedHashMap<>();
        public final Map<String, String> texts = new HashMap<>();
        public int next;
        public volatile String problem;

        Job(String id) {
            this.id = id;
        }

        public boolean isAccepted() {
            return acceptedBy > 0;
        }

        public long unlisted() {
            return items.size() - states.size();
        }

        public boolean isDone() {
            return states.size() == items.size();
        }
    }

    /** Where below the prefix the jobs are submitted, empty or with a slash at its end. */
    public String directory = "";
    private final Fleet fleet;
    private final Random random;

    public Jobs(Fleet fleet, long seed) {
        this.fleet = fleet;
        this.random = new Random(seed);
    }

    /** The route of the batch jobs, with the site's figures. */
    public static String route(long maxQueued) {
        return "{\"name\":\"r-batch\",\"host\":\"" + Fleet.HOST + "\",\"pathPrefix\":\"" + PREFIX + "\",\"kind\":\"batch\","
                + "\"timeoutMs\":15000,\"goalMs\":400,\"priority\":2,\"service\":\"model\",\"attempts\":3,\"sticky\":true,"
                + "\"resumable\":true,\"gapTargetMs\":250,\"deadlineMs\":18000,\"retentionS\":60,\"maxQueued\":" + maxQueued + "}";
    }

    /** Reads all that is listed; false if no gateway answers with 200. */
    public boolean readAll(Job job, int gateways) {
        boolean read = false;
        for (int attempt = 0, idle = 0; attempt < 400 && idle < gateways && !job.isDone(); attempt++) {
            int before = job.next;
            int status = read(job, attempt % gateways + 1);
            read |= status == 200;
            idle = job.next > before ? 0 : idle + 1;
        }
        return read || job.isDone();
    }

    private String newId() {
        return String.format("%016x", random.nextLong());
    }

    /** Makes a batch job. */
    public Job create(int items, int bodyBytes, int promptTokens, int events, String part) {
        Job job = new Job(newId());
        StringBuilder json = new StringBuilder("{\"items\":[");
        for (int number = 0; number < items; number++) {
            Item item = new Item(newId(), events);
            job.items.add(item);
            byte[] body = new byte[bodyBytes];
            random.nextBytes(body);
            json.append(number == 0 ? "" : ",").append("{\"id\":\"").append(item.id).append("\",\"path\":\"").append(PREFIX)
                    .append(job.id, 0, 6).append('/').append(number).append("\",\"headers\":{\"Model\":\"m\",\"Token-Count\":\"")
                    .append(promptTokens).append(',').append(events).append("\",\"Prompt-Prefix\":\"").append(part).append(":100,")
                    .append(item.id, 0, 8).append(':').append(promptTokens - 100).append("\"},\"body\":\"")
                    .append(Base64.getEncoder().encodeToString(body)).append("\",\"tokens\":").append(promptTokens + events).append('}');
        }
        job.body = json.append("]}").toString().getBytes();
        return job;
    }

    /** Submits a batch job, first at a gateway and then at the others, within a deadline. */
    public void submit(Job job, int gateway, int gateways, int deadlineMs) {
        long until = System.nanoTime() + deadlineMs * 1_000_000L;
        for (int attempt = 0; attempt < 2 * gateways && !job.isAccepted(); attempt++) {
            int target = (gateway - 1 + attempt) % gateways + 1;
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left < 50) {
                return;
            }
            String answer;
            try {
                Http.Response response = fleet.call(target, "POST", PREFIX + directory + job.id.substring(0, 6), Map.of("Attempt-Id", job.id,
                                "Content-Type", "application/json", "Deadline-Ms", String.valueOf(left)), job.body, (int) left);
                answer = String.valueOf(response.status);
                if (response.status == 202) {
                    job.acceptedBy = target;
                    job.acceptedAt = fleet.seconds();
                }
            } catch (IOException failure) {
                answer = "no answer (" + failure.getMessage() + ")";
            }
            job.answers.add(target + ":" + answer);
        }
        fleet.log("job %s submitted items=%d bytes=%d answers=%s", job.id, job.items.size(), job.body.length, job.answers);
        job.body = new byte[0];
    }

    /** Reads on at a gateway; returns the status, 0 if there was no answer. */
    @SuppressWarnings("unchecked")
    public int read(Job job, int gateway) {
        try {
            Http.Response response = fleet.call(gateway, "GET", "/lots/" + job.id + "?after=" + job.next, Map.of(), new byte[0], 3000);
            if (response.status != 200) {
                return response.status;
            }
            Map<String, Object> answer = Json.object(response.text());
            if (((Number) answer.get("total")).intValue() != job.items.size()) {
                job.problem = "total " + answer.get("total");
            }
            for (Map<String, Object> result : (List<Map<String, Object>>) answer.get("results")) {
                String id = (String) result.get("id");
                if (job.states.put(id, (String) result.get("state")) != null) {
                    job.problem = "item " + id + " stands twice";
                }
                job.texts.put(id, (String) result.get("text"));
                job.next++;
            }
            return 200;
        } catch (IOException failure) {
            return 0;
        }
    }
}
