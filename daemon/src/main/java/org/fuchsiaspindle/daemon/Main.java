package org.fuchsiaspindle.daemon;

import java.io.PrintWriter;
import java.util.Locale;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.ArgSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.ParameterException;

/** Entry point of the daemon. */
@Command(
        name = "fuchsiaspindled",
        mixinStandardHelpOptions = true,
        version = "fuchsiaspindled 0.1.0",
        description = "Runs an entry or an agent of the serving system.",
        subcommands = {EntryCommand.class, AgentCommand.class})
public final class Main {

    /** Exit code for an invalid setting. */
    public static final int EXIT_INVALID_SETTING = 2;

    /** Exit code for a start that failed for another reason. */
    public static final int EXIT_START_FAILED = 3;

    private static final String VARIABLE_PREFIX = "FUCHSIASPINDLE_";

    private Main() {}

    /** Runs the daemon and exits with its exit code. */
    public static void main(String[] args) {
        System.exit(commandLine().execute(args));
    }

    /**
     * Returns the command line of the daemon, also used to generate the documentation of the
     * settings.
     */
    public static CommandLine commandLine() {
        CommandLine commandLine = new CommandLine(new Main());
        commandLine.setDefaultValueProvider(Main::environmentValue);
        commandLine.setParameterExceptionHandler(Main::reportParameter);
        commandLine.setExecutionExceptionHandler(
                (failure, command, parsed) -> reportFailure(failure, command.getErr()));
        return commandLine;
    }

    /** Returns the environment variable of a flag, for example for {@code --store-address}. */
    public static String variableOf(String flag) {
        return VARIABLE_PREFIX
                + flag.replaceFirst("^--", "").replace('-', '_').toUpperCase(Locale.ROOT);
    }

    private static String environmentValue(ArgSpec argument) {
        if (argument instanceof OptionSpec option && !option.usageHelp()) {
            return System.getenv(variableOf(option.longestName()));
        }
        return null;
    }

    private static int reportParameter(ParameterException failure, String[] args) {
        PrintWriter err = failure.getCommandLine().getErr();
        print(err, ResultCode.INVALID_SETTING, failure.getMessage());
        return EXIT_INVALID_SETTING;
    }

    private static int reportFailure(Exception failure, PrintWriter err) {
        if (failure instanceof FuchsiaspindleException codedFailure) {
            print(err, codedFailure.code(), codedFailure.getMessage());
            return codedFailure.code() == ResultCode.INVALID_SETTING
                    ? EXIT_INVALID_SETTING
                    : EXIT_START_FAILED;
        }
        print(err, ResultCode.INTERNAL, String.valueOf(failure));
        return EXIT_START_FAILED;
    }

    private static void print(PrintWriter err, ResultCode code, String message) {
        err.println("error " + code.number() + " " + code.wireName() + ": " + message);
        err.flush();
    }
}
