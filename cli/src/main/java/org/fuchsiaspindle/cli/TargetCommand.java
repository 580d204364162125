package org.fuchsiaspindle.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Implements the {@code target} commands, which list, drain and undrain targets. */
@Command(name = "target", description = "Lists, drains and undrains targets.")
final class TargetCommand {

    private static final ObjectMapper JSON = new ObjectMapper();

    @Command(name = "list", description = "Lists the targets and their load.")
    int list(@Mixin AdminOptions admin) {
        JsonNode response = admin.withClient(client -> client.get("/targets"));
        admin.output().write(response, () -> StatusText.targets(response.path("targets")));
        return ExitCodes.OK;
    }

    @Command(name = "drain", description = "Stops sending new work to a target.")
    int drain(
            @Mixin ChangeOptions change,
            @Parameters(
                            paramLabel = "INSTANCE",
                            description = "Identifier of the target's instance.")
                    String instance) {
        change.write(send(change, instance, "drain"), "drain/" + instance);
        return ExitCodes.OK;
    }

    @Command(name = "undrain", description = "Resumes sending work to a drained target.")
    int undrain(
            @Mixin ChangeOptions change,
            @Parameters(
                            paramLabel = "INSTANCE",
                            description = "Identifier of the target's instance.")
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
