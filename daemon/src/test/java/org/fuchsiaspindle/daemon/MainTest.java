package org.fuchsiaspindle.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** Guards against a daemon that starts with an invalid setting or does not name it in the error. */
final class MainTest {

    private static final String[] ENTRY = {
        "entry",
        "--instance-id=entry-1",
        "--data-centre=dc-1",
        "--region=region-1",
        "--store-address=127.0.0.1:1",
        "--fleet-secret=0123456789abcdef"
    };

    private final StringWriter err = new StringWriter();

    @Test
    void missingFlags_areNamedWithExitCode2() {
        assertThat(run("agent")).isEqualTo(Main.EXIT_INVALID_SETTING);
        assertThat(err.toString())
                .startsWith("error 8001 invalid_setting")
                .contains("--store-address");
    }

    @Test
    void hostNameAsAddress_isRefused() {
        assertThat(runEntry("--fleet-listen=localhost:7400")).isEqualTo(Main.EXIT_INVALID_SETTING);
        assertThat(err.toString()).contains("8001").contains("--fleet-listen");
    }

    @Test
    void shortSecret_isRefusedAndNotPrinted() {
        assertThat(runEntry("--fleet-secret=short-one")).isEqualTo(Main.EXIT_INVALID_SETTING);
        assertThat(err.toString()).contains("--fleet-secret").doesNotContain("short-one");
    }

    @Test
    void variableOf_followsTheFlagsName() {
        assertThat(Main.variableOf("--store-address")).isEqualTo("FUCHSIASPINDLE_STORE_ADDRESS");
    }

    private int runEntry(String override) {
        String[] args = new String[ENTRY.length + 1];
        System.arraycopy(ENTRY, 0, args, 0, ENTRY.length);
        args[ENTRY.length] = override;
        return run(args);
    }

    private int run(String... args) {
        CommandLine line = Main.commandLine();
        line.setOverwrittenOptionsAllowed(true);
        line.setErr(new PrintWriter(err));
        return line.execute(args);
    }
}
