package org.fuchsiaspindle.testbed;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against dependencies that violate the layering of the modules. */
final class LayeringTest {

    private static final String[] PLATFORM_NAMES = {
        "\"Attempt-Id\"",
        "\"Deadline-Ms\"",
        "\"Expect-Instance\"",
        "\"Not-Run\"",
        "\"Server-Stamp\"",
        "\"Last-Event-Id\"",
        "\"Wait-Ms\"",
        "\"Prompt-Prefix\"",
        "\"Server-Limit\"",
        "\"Server-Leaving\"",
        "\"expectRev\"",
        "\"dead_letter\"",
        "\"/lots/\"",
        "\"/rows-tx\""
    };

    private static final String ROOT = "org.fuchsiaspindle.";
    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("org.fuchsiaspindle");

    @Test
    void core_performsNoInputOrOutputAndStartsNoThreads() {
        noClasses()
                .that()
                .resideInAPackage(ROOT + "core..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        ROOT + "wire..",
                        ROOT + "platform..",
                        ROOT + "daemon..",
                        ROOT + "gateway..",
                        ROOT + "cli..",
                        "java.net.http..",
                        "java.nio.channels..",
                        "io.undertow..",
                        "io.netty..")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.Thread")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.util.concurrent.Executors")
                .check(CLASSES);
    }

    @Test
    void productionCode_doesNotDependOnTheTestbed() {
        noClasses()
                .that()
                .resideOutsideOfPackage(ROOT + "testbed..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage(ROOT + "testbed..")
                .check(CLASSES);
    }

    @Test
    void wireAndPlatform_doNotDependOnTheDaemon() {
        noClasses()
                .that()
                .resideInAnyPackage(ROOT + "wire..", ROOT + "platform..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(ROOT + "daemon..", ROOT + "gateway..", ROOT + "cli..")
                .check(CLASSES);
    }

    @Test
    void productionCode_startsNoProcess() {
        noClasses()
                .that()
                .resideOutsideOfPackage(ROOT + "testbed..")
                .should()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.ProcessBuilder")
                .check(CLASSES);
    }

    @Test
    void corePackages_haveNoCycles() {
        SlicesRuleDefinition.slices()
                .matching(ROOT + "core.(*)..")
                .should()
                .beFreeOfCycles()
                .check(CLASSES);
    }

    /**
     * Guards against code that depends on the platform's message format outside the platform
     * adapter: header, field and path names may occur only there.
     */
    @Test
    void platformNames_occurOnlyInTheAdapter() throws IOException {
        for (String module : List.of("core", "wire", "daemon", "gateway", "cli")) {
            try (Stream<Path> files = Files.walk(Path.of("..", module, "src", "main", "java"))) {
                for (Path file : files.filter(Files::isRegularFile).toList()) {
                    assertThat(Files.readString(file))
                            .as(file.toString())
                            .doesNotContain(PLATFORM_NAMES);
                }
            }
        }
    }
}
