package org.fuchsiaspindle.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fuchsiaspindle.core.contract.KeyDigest;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Implements the {@code contract} commands, which manage customer contracts. */
@Command(name = "contract", description = "Shows and changes customer contracts.")
final class ContractCommand {

    private static final String KIND = "contract";

    @Command(name = "apply", description = "Creates or replaces a contract.")
    int apply(
            @Mixin ChangeOptions change,
            @Parameters(paramLabel = "CUSTOMER", description = "Name of the customer.")
                    String customer,
            @Option(
                            names = "--file",
                            required = true,
                            paramLabel = "FILE",
                            description = "File with the contract as JSON; - for standard input.")
                    String file,
            @Option(
                            names = "--key",
                            paramLabel = "KEY",
                            description =
                                    "API key of the customer, of which only the digest is sent; may"
                                            + " be repeated.")
                    List<String> keys,
            @Option(
                            names = "--key-file",
                            paramLabel = "FILE",
                            description = "File with API keys of the customer, one per line.")
                    String keyFile,
            @Mixin BaseVersion base) {
        ObjectNode document = DocumentFile.readObject(file);
        addKeys(document, keys, keyFile);
        change.sendDocument(KIND, customer, document, base);
        return ExitCodes.OK;
    }

    @Command(name = "get", description = "Shows a contract.")
    int get(
            @Mixin AdminOptions admin,
            @Parameters(paramLabel = "CUSTOMER", description = "Name of the customer.")
                    String customer) {
        Documents.get(admin, KIND, customer);
        return ExitCodes.OK;
    }

    @Command(name = "list", description = "Lists the contracts.")
    int list(@Mixin AdminOptions admin) {
        Documents.list(admin, ImmutableList.of(KIND));
        return ExitCodes.OK;
    }

    @Command(
            name = "diff",
            description = "Shows the differences between two configuration versions.")
    int diff(
            @Mixin AdminOptions admin,
            @Parameters(
                            paramLabel = "CUSTOMER",
                            arity = "0..1",
                            description = "Name of the customer (default: all).")
                    String customer,
            @Option(
                            names = "--from",
                            required = true,
                            paramLabel = "N",
                            description = "The earlier version.")
                    long from,
            @Option(
                            names = "--to",
                            paramLabel = "N",
                            description = "The later version (default: the latest).")
                    Long to) {
        Documents.diff(admin, KIND, Optional.ofNullable(customer), from, to);
        return ExitCodes.OK;
    }

    @Command(name = "history", description = "Lists the changes to contracts, newest first.")
    int history(
            @Mixin AdminOptions admin,
            @Parameters(
                            paramLabel = "CUSTOMER",
                            arity = "0..1",
                            description = "Name of the customer (default: all).")
                    String customer,
            @Option(
                            names = "--limit",
                            paramLabel = "N",
                            defaultValue = "100",
                            description =
                                    "Maximum number of changes to list (default:"
                                            + " ${DEFAULT-VALUE}).")
                    int limit) {
        Documents.history(admin, Optional.of(KIND), Optional.ofNullable(customer), limit);
        return ExitCodes.OK;
    }

    @Command(name = "delete", description = "Deletes a contract.")
    int delete(
            @Mixin ChangeOptions change,
            @Parameters(paramLabel = "CUSTOMER", description = "Name of the customer.")
                    String customer,
            @Mixin BaseVersion base) {
        change.sendDocument(KIND, customer, null, base);
        return ExitCodes.OK;
    }

    private static void addKeys(ObjectNode document, List<String> keys, String keyFile) {
        List<String> all = new ArrayList<>(keys == null ? List.of() : keys);
        if (keyFile != null) {
            all.addAll(DocumentFile.readLines(keyFile));
        }
        if (all.isEmpty()) {
            return;
        }
        ArrayNode digests =
                document.path("keys_sha256") instanceof ArrayNode existing
                        ? existing
                        : document.putArray("keys_sha256");
        all.forEach(key -> digests.add(KeyDigest.ofKey(key).hex()));
    }
}
