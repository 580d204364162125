package org.fuchsiaspindle.cli;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Implements the {@code config} commands, which manage models, services and settings. */
@Command(name = "config", description = "Shows and changes models, services and fleet settings.")
final class ConfigCommand {

    /** Kinds of documents other than contracts. */
    enum Kind {
        model,
        service,
        settings
    }

    @Command(name = "apply", description = "Creates or replaces a document.")
    int apply(
            @Mixin ChangeOptions change,
            @Parameters(
                            index = "0",
                            paramLabel = "KIND",
                            description = "model, service or settings.")
                    Kind kind,
            @Parameters(
                            index = "1",
                            paramLabel = "NAME",
                            description = "Name of the document; for settings: fleet.")
                    String name,
            @Option(
                            names = "--file",
                            required = true,
                            paramLabel = "FILE",
                            description = "File with the document as JSON; - for standard input.")
                    String file,
            @Mixin BaseVersion base) {
        change.sendDocument(kind.name(), name, DocumentFile.readObject(file), base);
        return ExitCodes.OK;
    }

    @Command(name = "get", description = "Shows a document.")
    int get(
            @Mixin AdminOptions admin,
            @Parameters(
                            index = "0",
                            paramLabel = "KIND",
                            description = "model, service or settings.")
                    Kind kind,
            @Parameters(
                            index = "1",
                            paramLabel = "NAME",
                            description = "Name of the document; for settings: fleet.")
                    String name) {
        Documents.get(admin, kind.name(), name);
        return ExitCodes.OK;
    }

    @Command(name = "list", description = "Lists documents.")
    int list(
            @Mixin AdminOptions admin,
            @Parameters(
                            paramLabel = "KIND",
                            arity = "0..1",
                            description = "model, service or settings (default: all).")
                    Kind kind) {
        Documents.list(
                admin,
                kind == null
                        ? ImmutableList.of("model", "service", "settings")
                        : ImmutableList.of(kind.name()));
        return ExitCodes.OK;
    }

    @Command(name = "history", description = "Lists the changes to documents, newest first.")
    int history(
            @Mixin AdminOptions admin,
            @Parameters(
                            index = "0",
                            paramLabel = "KIND",
                            arity = "0..1",
                            description = "model, service or settings (default: all documents).")
                    Kind kind,
            @Parameters(
                            index = "1",
                            paramLabel = "NAME",
                            arity = "0..1",
                            description = "Name of the document (default: all).")
                    String name,
            @Option(
                            names = "--limit",
                            paramLabel = "N",
                            defaultValue = "100",
                            description =
                                    "Maximum number of changes to list (default:"
                                            + " ${DEFAULT-VALUE}).")
                    int limit) {
        Documents.history(
                admin, Optional.ofNullable(kind).map(Kind::name), Optional.ofNullable(name), limit);
        return ExitCodes.OK;
    }

    @Command(name = "delete", description = "Deletes a document.")
    int delete(
            @Mixin ChangeOptions change,
            @Parameters(
                            index = "0",
                            paramLabel = "KIND",
                            description = "model, service or settings.")
                    Kind kind,
            @Parameters(
                            index = "1",
                            paramLabel = "NAME",
                            description = "Name of the document; for settings: fleet.")
                    String name,
            @Mixin BaseVersion base) {
        change.sendDocument(kind.name(), name, null, base);
        return ExitCodes.OK;
    }
}
