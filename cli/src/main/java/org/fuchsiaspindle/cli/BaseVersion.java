package org.fuchsiaspindle.cli;

import java.util.OptionalLong;
import picocli.CommandLine.Option;

/** Option of the commands that change a document: the configuration version they are based on. */
final class BaseVersion {

    @Option(
            names = "--base-version",
            paramLabel = "N",
            description = "Reject the change unless this is the current configuration version.")
    private Long version;

    /** Returns the version, empty if the change may be based on any. */
    OptionalLong version() {
        return version == null ? OptionalLong.empty() : OptionalLong.of(version);
    }
}
