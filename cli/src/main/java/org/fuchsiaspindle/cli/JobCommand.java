package org.fuchsiaspindle.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Implements the {@code job} commands, which list, show and cancel batch jobs. */
@Command(name = "job", description = "Shows and cancels batch jobs.")
final class JobCommand {

    private static final ObjectMapper JSON = new ObjectMapper();

    @Command(name = "list", description = "Lists the open jobs.")
    int list(
            @Mixin AdminOptions admin,
            @Option(
                            names = "--customer",
                            paramLabel = "CUSTOMER",
                            description = "Only jobs of this customer.")
                    String customer) {
        String query = customer == null ? "" : "?customer=" + Documents.pathSegment(customer);
        JsonNode response = admin.withClient(client -> client.get("/jobs" + query));
        admin.output().write(response, () -> StatusText.jobs(response.path("jobs")));
        return ExitCodes.OK;
    }

    @Command(name = "show", description = "Shows a job.")
    int show(
            @Mixin AdminOptions admin,
            @Parameters(paramLabel = "JOB", description = "Identifier of the job.") String job) {
        JsonNode response =
                admin.withClient(client -> client.get("/jobs/" + Documents.pathSegment(job)));
        admin.output().write(response, () -> Output.pretty(response) + "\n");
        return ExitCodes.OK;
    }

    @Command(name = "cancel", description = "Cancels a job.")
    int cancel(
            @Mixin AdminOptions admin,
            @Parameters(paramLabel = "JOB", description = "Identifier of the job.") String job) {
        JsonNode response =
                admin.withClient(
                        client ->
                                client.post(
                                        "/jobs/" + Documents.pathSegment(job) + "/cancel",
                                        JSON.createObjectNode(),
                                        Duration.ZERO));
        admin.output()
                .write(response, () -> "job " + job + ": " + StatusText.state(response) + "\n");
        return ExitCodes.OK;
    }
}
