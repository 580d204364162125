package org.fuchsiaspindle.daemon.entry.batch;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fuchsiaspindle.core.batch.BatchJson;
import org.fuchsiaspindle.core.batch.JobRecord;

/** Compares the result files of a job with the execution log of the targets. */
final class JobResultVerifier {

    private JobResultVerifier() {}

    /**
     * Checks that each item has exactly one record and that each response was returned for its
     * item.
     *
     * @return the records of items without a result by {@code custom_id}
     */
    static Map<String, JsonNode> verify(BatchSimulation simulation, String id, int items)
            throws IOException {
        JobRecord job = simulation.job(id);
        List<String> output = simulation.read(job, ResultFile.Kind.OUTPUT);
        List<String> errors = simulation.read(job, ResultFile.Kind.ERROR);
        assertThat(output).hasSize(job.outcome().completed());
        assertThat(errors).hasSize(job.outcome().failed());
        assertThat(bytes(output)).isEqualTo(job.outcome().outputBytes());
        assertThat(bytes(errors)).isEqualTo(job.outcome().errorBytes());
        Map<String, JsonNode> records = new HashMap<>();
        List<String> lines = new ArrayList<>(output);
        lines.addAll(errors);
        for (String line : lines) {
            JsonNode record = BatchJson.MAPPER.readTree(line);
            String customId = record.path("custom_id").asText();
            assertThat(records.put(customId, record)).as("second record of %s", customId).isNull();
            if (record.path("error").isNull()) {
                String text = record.at("/response/body/choices/0/message/content").asText();
                assertThat(simulation.executionLog().isResponse(id, customId, text))
                        .as("%s has the response: %s", customId, text)
                        .isTrue();
            }
        }
        assertThat(records).hasSize(items);
        records.values().removeIf(record -> record.path("error").isNull());
        return records;
    }

    private static long bytes(List<String> lines) {
        return lines.stream().mapToLong(line -> line.length() + 1).sum();
    }
}
