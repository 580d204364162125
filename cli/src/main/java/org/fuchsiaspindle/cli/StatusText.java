package org.fuchsiaspindle.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;

/** Formats processes, targets and jobs as text tables. */
final class StatusText {

    private StatusText() {}

    static String status(JsonNode status) {
        StringBuilder text =
                new StringBuilder()
                        .append("configuration version ")
                        .append(status.path("config_version").asText())
                        .append(status.path("ready").asBoolean() ? "" : ", not ready")
                        .append(
                                status.path("table_reachable").asBoolean()
                                        ? ""
                                        : ", table not reachable")
                        .append("\n\n")
                        .append(processes(status.path("processes")))
                        .append('\n')
                        .append(targets(status.path("targets")));
        JsonNode atRisk = status.path("jobs_at_risk");
        text.append("\njobs at risk: ").append(atRisk.size()).append('\n');
        if (!atRisk.isEmpty()) {
            text.append(jobs(atRisk));
        }
        return text.toString();
    }

    static String processes(JsonNode processes) {
        TextTable table =
                new TextTable("INSTANCE", "ROLE", "DATA CENTRE", "CONNECTED", "CONFIG", "LAG");
        for (JsonNode process : processes) {
            table.add(
                    process.path("instance").asText(),
                    process.path("role").asText(),
                    process.path("data_centre").asText(),
                    process.path("connected").asBoolean() ? "yes" : "no",
                    orDash(process.path("config_version")),
                    orDash(process.path("config_lag")));
        }
        return table.render();
    }

    static String targets(JsonNode targets) {
        TextTable table =
                new TextTable(
                        "INSTANCE",
                        "KIND",
                        "NAME",
                        "DATA CENTRE",
                        "STATE",
                        "ONLINE",
                        "BATCH",
                        "CAPACITY",
                        "MODELS");
        for (JsonNode target : targets) {
            JsonNode load = target.path("load");
            table.add(
                    target.path("instance").asText(),
                    target.path("kind").asText(),
                    target.path("name").asText(),
                    target.path("data_centre").asText(),
                    target.path("state").asText(),
                    runningAndWaiting(load, "online"),
                    runningAndWaiting(load, "batch"),
                    orDash(load.path("capacity")),
                    models(load.path("models")));
        }
        return table.render();
    }

    static String jobs(JsonNode jobs) {
        TextTable table =
                new TextTable("JOB", "CUSTOMER", "MODEL", "STATE", "ITEMS", "DEADLINE", "AT RISK");
        for (JsonNode job : jobs) {
            table.add(
                    orDash(job.path("id")),
                    orDash(job.path("customer")),
                    orDash(job.path("model")),
                    state(job),
                    orDash(job.path("request_counts").path("total")),
                    time(job.path("expires_at")),
                    job.path("at_risk").asBoolean() ? "yes" : "no");
        }
        return table.render();
    }

    private static String time(JsonNode epochSeconds) {
        return epochSeconds.isIntegralNumber()
                ? Instant.ofEpochSecond(epochSeconds.longValue()).toString()
                : "-";
    }

    static String state(JsonNode job) {
        return orDash(job.path("status"));
    }

    /** Formats the online or batch load as {@code running+waiting}. */
    private static String runningAndWaiting(JsonNode load, String kind) {
        return load.isMissingNode()
                ? "-"
                : load.path(kind + "_running").asText()
                        + "+"
                        + load.path(kind + "_waiting").asText();
    }

    private static String models(JsonNode models) {
        StringBuilder text = new StringBuilder();
        models.forEach(model -> text.append(text.isEmpty() ? "" : ",").append(model.asText()));
        return text.isEmpty() ? "-" : text.toString();
    }

    private static String orDash(JsonNode value) {
        return value.isMissingNode() || value.isNull() ? "-" : value.asText();
    }
}
