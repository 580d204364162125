package org.fuchsiaspindle.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Implements the {@code target} commands, which list, drain and undrain targets. */
@Command(name = "target", description = "Shows targets and drains them.")
final class TargetCommand {

    private static final ObjectMapper JSON = new ObjectMapper();

    @Command(name = "list", description = "Lists the targets with their load.")
    int list(@Mixin AdminOptions admin) {
        JsonNode answer = admin.withClient(client -> client.get("/targets"));
        admin.output().write(answer, () -> StatusText.targets(answer.path("targets")));
        return ExitCodes.OK;
    }

    @Command(name = "drain", description = "Gives a target no new work.")
    int drain(
            @Mixin ChangeOptions change,
            @Parameters(paramLabel = "INSTANCE", description = "Instance of the target.")
                    String instance) {
        change.write(send(change, instance, "drain"), "drain/" + instance);
        return ExitCodes.OK;
    }

    @Command(name = "undrain", description = "Gives a drained target work again.")
    int undrain(
            @Mixin ChangeOptions change,
            @Parameters(paramLabel = "INSTANCE", description = "Instance of the target.")
                    String instance) {
        change.write(send(change, instance, "undrain"), "drain/" + instance);
        return ExitCodes.OK;
    }

    private static JsonNode send(ChangeOptions change, String instance, String action) {
        return change.send(
                "/targets/" + Documents.pathSegment(instance) + "/" + action,
                JSON.createObjectNode());
    }
}
