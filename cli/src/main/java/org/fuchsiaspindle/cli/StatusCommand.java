package org.fuchsiaspindle.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Implements {@code status}, which shows the state of the fleet. */
@Command(
        name = "status",
        description = "Shows the processes, targets and jobs at risk that an entry knows of.")
final class StatusCommand implements Callable<Integer> {

    @Mixin private AdminOptions admin = new AdminOptions();

    @Override
    public Integer call() {
        JsonNode response = admin.withClient(client -> client.get("/status"));
        admin.output().write(response, () -> StatusText.status(response));
        return ExitCodes.OK;
    }
}
