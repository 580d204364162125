package org.fuchsiaspindle.cli;

import java.io.PrintWriter;
import java.util.Locale;
import java.util.Map;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.ArgSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.ParseResult;

/** Entry point of the command-line client for operators. */
@Command(
        name = "fuchsiaspindle",
        mixinStandardHelpOptions = true,
        scope = CommandLine.ScopeType.INHERIT,
        version = "fuchsiaspindle 0.1.0",
        description = "Operates a serving system through one of its entries.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done",
            "1:refused by the system",
            "2:invalid command line or file",
            "3:no entry responds",
            "4:conflict with another change",
            "5:accepted, but not in force within the wait time"
        },
        subcommands = {
            ContractCommand.class,
            ConfigCommand.class,
            JobCommand.class,
            TargetCommand.class,
            StatusCommand.class,
            ExplainCommand.class,
            CompletionCommand.class
        })
public final class Main {

    private static final String VARIABLE_PREFIX = "FUCHSIASPINDLE_";
    private static final int HELP_WIDTH = 100;

    private Main() {}

    /** Runs a command and exits with its exit code. */
    public static void main(String[] args) {
        System.exit(commandLine(System.getenv()).execute(args));
    }

    /**
     * Returns the command line.
     *
     * @param environment environment variables; the default value of an option is taken from the
     *     variable named {@code FUCHSIASPINDLE_} and the option's name in upper case
     */
    static CommandLine commandLine(Map<String, String> environment) {
        CommandLine commandLine = new CommandLine(new Main());
        commandLine.setDefaultValueProvider(argument -> environmentValue(argument, environment));
        commandLine.setUsageHelpWidth(HELP_WIDTH);
        commandLine.setExecutionExceptionHandler(Main::report);
        return commandLine;
    }

    private static String environmentValue(ArgSpec argument, Map<String, String> environment) {
        if (argument instanceof OptionSpec option && option.longestName().startsWith("--")) {
            String name = option.longestName().substring(2).replace('-', '_');
            return environment.get(VARIABLE_PREFIX + name.toUpperCase(Locale.ROOT));
        }
        return null;
    }

    private static int report(Exception exception, CommandLine command, ParseResult parsed) {
        PrintWriter err = command.getErr();
        if (exception instanceof CliException expected) {
            err.println(expected.getMessage());
            expected.details().forEach(detail -> err.println("  " + detail));
            err.flush();
            return expected.exitCode();
        }
        if (exception instanceof CommandLine.ParameterException usage) {
            err.println(usage.getMessage());
            err.flush();
            return ExitCodes.USAGE;
        }
        err.println("unexpected error: " + exception);
        err.flush();
        return ExitCodes.REFUSED;
    }
}
