package org.fuchsiaspindle.cli;

import java.util.concurrent.Callable;
import picocli.AutoComplete;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Implements {@code completion}, which prints a shell completion script. */
@Command(
        name = "completion",
        description =
                "Prints a shell completion script for bash and zsh, to be loaded with source.")
final class CompletionCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine()
                .getOut()
                .print(AutoComplete.bash("fuchsiaspindle", spec.root().commandLine()));
        spec.commandLine().getOut().flush();
        return ExitCodes.OK;
    }
}
