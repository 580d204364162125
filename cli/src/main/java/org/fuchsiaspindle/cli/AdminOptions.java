package org.fuchsiaspindle.cli;

import java.net.URI;
import java.util.function.Function;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import picocli.CommandLine.Spec.Target;

/** Options of every command that sends requests to an entry. */
final class AdminOptions {

    @Spec(Target.MIXEE)
    private CommandSpec spec;

    @Option(
            names = "--url",
            paramLabel = "URL",
            defaultValue = "http://127.0.0.1:7480",
            description = "Base URL of an entry (default: ${DEFAULT-VALUE}).")
    private String url;

    @Option(
            names = "--operator-key",
            paramLabel = "KEY",
            description =
                    "Operator key; prefer the environment variable FUCHSIASPINDLE_OPERATOR_KEY.")
    private String operatorKey;

    @Option(
            names = "--output",
            paramLabel = "FORMAT",
            defaultValue = "text",
            description = "Output format: text or json (default: ${DEFAULT-VALUE}).")
    private Output.Format format;

    Output output() {
        return new Output(spec.commandLine().getOut(), format);
    }

    /**
     * Runs an action with a client that is closed afterwards.
     *
     * @throws ParameterException if the operator key is missing or the URL is not valid
     */
    <T> T withClient(Function<AdminClient, T> action) {
        if (operatorKey == null) {
            throw new ParameterException(
                    spec.commandLine(), "Missing required option: '--operator-key=KEY'");
        }
        try (AdminClient client = new AdminClient(checkedUrl(), operatorKey)) {
            return action.apply(client);
        }
    }

    private String checkedUrl() {
        try {
            URI uri = URI.create(url);
            if (uri.getHost() != null
                    && ("http".equals(uri.getScheme()) || "https".equals(uri.getScheme()))) {
                return url.replaceFirst("/+$", "");
            }
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), "--url: not a URL: " + url, e);
        }
        throw new ParameterException(
                spec.commandLine(), "--url: not of the form http://host:port: " + url);
    }
}
