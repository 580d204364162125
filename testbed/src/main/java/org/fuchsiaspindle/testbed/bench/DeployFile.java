package org.fuchsiaspindle.testbed.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads how the platform runs the gateway of a built repository. */
final class DeployFile {

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"([^\"]+)\"$");

    private DeployFile() {}

    /** Returns the program and its arguments, relative to the root of the repository. */
    static List<String> gatewayCommand(Path root) throws IOException {
        Path file = root.resolve("deploy").resolve("system.toml");
        Matcher matcher = RUN.matcher(Files.readString(file));
        if (!matcher.find()) {
            throw new IOException("no command in " + file);
        }
        return List.of(matcher.group(1).split(" +"));
    }
}
