package org.fuchsiaspindle.daemon.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;
import org.fuchsiaspindle.core.config.ConfigSource;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.daemon.fleet.FleetDirectory;
import org.fuchsiaspindle.daemon.fleet.FleetVersions;
import org.fuchsiaspindle.daemon.fleet.LoadReports;
import org.fuchsiaspindle.platform.instance.ListedInstance;
import org.fuchsiaspindle.wire.proto.LoadReport;

/** Describes the processes and targets as seen by this entry. Thread-safe. */
final class FleetStatus {

    private final ConfigSource config;
    private final FleetDirectory directory;
    private final FleetVersions versions;
    private final LoadReports reports;
    private final Clock clock;

    FleetStatus(
            ConfigSource config,
            FleetDirectory directory,
            FleetVersions versions,
            LoadReports reports,
            Clock clock) {
        this.config = config;
        this.directory = directory;
        this.versions = versions;
        this.reports = reports;
        this.clock = clock;
    }

    ArrayNode processes() {
        long version = config.current().version();
        ArrayNode list = AdminJson.JSON.createArrayNode();
        for (FleetVersions.InstanceVersion process : versions.all()) {
            ObjectNode node = AdminJson.process(process);
            String id = process.instance().id();
            node.put(
                    "connected",
                    id.equals(versions.self()) || directory.connectionTo(id).isPresent());
            node.put("leaving", directory.isLeaving(id));
            process.version()
                    .ifPresent(
                            processVersion ->
                                    node.put("config_lag", Math.max(0, version - processVersion)));
            list.add(node);
        }
        return list;
    }

    ArrayNode targets() {
        ArrayNode list = AdminJson.JSON.createArrayNode();
        directory.instances().stream()
                .filter(instance -> instance.role() == ListedInstance.Role.AGENT)
                .sorted(Comparator.comparing(ListedInstance::id))
                .forEach(instance -> list.add(target(instance)));
        return list;
    }

    Optional<ListedInstance> target(String id) {
        return directory.instances().stream()
                .filter(instance -> instance.role() == ListedInstance.Role.AGENT)
                .filter(instance -> instance.id().equals(id))
                .findFirst();
    }

    private ObjectNode target(ListedInstance instance) {
        ObjectNode node =
                AdminJson.JSON
                        .createObjectNode()
                        .put("instance", instance.id())
                        .put("kind", instance.targetKind().name().toLowerCase(Locale.ROOT))
                        .put("name", instance.targetName())
                        .put("data_centre", instance.dataCentre())
                        .put("state", state(instance));
        reports.of(instance.id()).ifPresent(received -> node.set("load", load(received)));
        return node;
    }

    private String state(ListedInstance instance) {
        if (config.current().drained().contains(instance.id())) {
            return "drained";
        }
        if (directory.isLeaving(instance.id())) {
            return "leaving";
        }
        return directory.connectionTo(instance.id()).isPresent() ? "live" : "not connected";
    }

    private ObjectNode load(LoadReports.Received received) {
        LoadReport report = received.report();
        Duration age = Duration.ofNanos(clock.nanoTime() - received.receivedNanos());
        ObjectNode node =
                AdminJson.JSON
                        .createObjectNode()
                        .put("online_running", report.getOnlineRunning())
                        .put("online_waiting", report.getOnlineWaiting())
                        .put("batch_running", report.getBatchRunning())
                        .put("batch_waiting", report.getBatchWaiting())
                        .put("capacity", report.getCapacity())
                        .put("age_ms", age.toMillis());
        ArrayNode models = node.putArray("models");
        report.getModelsList().forEach(models::add);
        return node;
    }
}
