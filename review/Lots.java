package fuchsiareview2;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** A client of batch jobs, as PROTOCOL.md describes it. */
final class Lots {

    static final String HOST = "jobs.example";

    private final Gateways gateways;
    private final Random random = new Random(7);

    Lots(Gateways gateways) {
        this.gateways = gateways;
    }

    /** Returns the body of a submission. */
    static byte[] submission(List<String> items, String tokenCount, long tokens, int bodyBytes) {
        List<Object> list = new ArrayList<>();
        byte[] body = new byte[bodyBytes];
        new Random(bodyBytes).nextBytes(body);
        String encoded = Base64.getEncoder().encodeToString(body);
        for (String item : items) {
            Map<String, Object> headers = new LinkedHashMap<>();
            headers.put("Model", "m");
            headers.put("Token-Count", tokenCount);
            headers.put("Prompt-Prefix", "9c2e41:100," + item + ":250");
            Map<String, Object> map = new LinkedHashMap<>();
            map.put("id", item);
            map.put("path", "/batch/run/" + item);
            map.put("headers", headers);
            map.put("body", encoded);
            map.put("tokens", tokens);
            list.add(map);
        }
        Map<String, Object> root = new LinkedHashMap<>();
        root.put("items", list);
        return Js.write(root).getBytes(StandardCharsets.UTF_8);
    }

    /** Submits a job once; returns the status, 0 without an answer. */
    int submit(int gateway, String job, byte[] body, int deadlineMs) {
        return submit("/batch/", gateway, job, body, deadlineMs);
    }

    /** Submits a job on a route with another prefix. */
    int submit(String prefix, int gateway, String job, byte[] body, int deadlineMs) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("Attempt-Id", job);
        headers.put("Deadline-Ms", "" + deadlineMs);
        headers.put("Content-Type", "application/json");
        try {
            int status =
                    Net.call(
                                    gateways.ip(gateway),
                                    gateways.base,
                                    "POST " + prefix + job,
                                    headers,
                                    body,
                                    deadlineMs + 1500)
                            .status();
            Notes.line("job %s at gateway %d: submitted, status %d", job, gateway, status);
            return status;
        } catch (IOException failure) {
            Notes.line("job %s at gateway %d: submitted, %s", job, gateway, failure);
            return 0;
        }
    }

    /** Submits a job at one gateway after the other until it is accepted. */
    boolean submitAnywhere(String job, byte[] body, int deadlineMs, int attempts) {
        int first = random.nextInt(gateways.count());
        for (int attempt = 0; attempt < attempts; attempt++) {
            if (submit((first + attempt) % gateways.count(), job, body, deadlineMs) == 202) {
                return true;
            }
            Platform.sleep(300);
        }
        return false;
    }

    /** Reads results from a position; null if the gateway gave none. */
    Map<String, Object> read(int gateway, String job, int after) {
        try {
            Net.Message answer =
                    Net.call(
                            gateways.ip(gateway),
                            gateways.base,
                            "GET /lots/" + job + "?after=" + after,
                            Map.of("Host", HOST),
                            new byte[0],
                            3000);
            if (answer.status() != 200) {
                Notes.line("job %s at gateway %d: read, status %d", job, gateway, answer.status());
                return null;
            }
            return Js.map(Js.read(answer.text()));
        } catch (IOException failure) {
            Notes.line("job %s at gateway %d: read, %s", job, gateway, failure);
            return null;
        }
    }

    /** Ends a job; returns the status, 0 without an answer. */
    int end(int gateway, String job) {
        try {
            int status =
                    Net.call(
                                    gateways.ip(gateway),
                                    gateways.base,
                                    "DELETE /lots/" + job,
                                    Map.of("Host", HOST),
                                    new byte[0],
                                    4000)
                            .status();
            Notes.line("job %s at gateway %d: ended, status %d", job, gateway, status);
            return status;
        } catch (IOException failure) {
            Notes.line("job %s at gateway %d: ended, %s", job, gateway, failure);
            return 0;
        }
    }
}
