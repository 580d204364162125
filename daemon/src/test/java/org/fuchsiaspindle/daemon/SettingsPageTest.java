package org.fuchsiaspindle.daemon;

import java.util.Map;
import org.fuchsiaspindle.core.testing.DocumentedPage;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;
import picocli.CommandLine.Model.OptionSpec;

/** Guards against flags that are missing from the settings page. */
final class SettingsPageTest {

    @Test
    void page_describesEveryFlag() {
        StringBuilder page =
                new StringBuilder(
                        """
                        # Settings

                        Generated from the daemon's flags. Each flag can also be set by an
                        environment variable; the flag takes precedence. An invalid value stops the
                        daemon at start with a numbered error and exit code 2. The log level is set
                        by `FUCHSIASPINDLE_LOG_LEVEL`.
                        """);
        for (Map.Entry<String, CommandLine> role : Main.commandLine().getSubcommands().entrySet()) {
            page.append("\n## ")
                    .append(role.getKey())
                    .append("\n\n| flag | variable | default | meaning |\n|---|---|---|---|\n");
            for (OptionSpec option : role.getValue().getCommandSpec().options()) {
                if (!option.usageHelp() && !option.versionHelp()) {
                    page.append(row(option));
                }
            }
        }
        DocumentedPage.verify("settings", page.toString());
    }

    private static String row(OptionSpec option) {
        String flag = option.longestName();
        String defaultValue = option.required() ? "required" : option.defaultValue();
        String meaning =
                String.join(" ", option.description())
                        .replaceAll(" \\(default: [^)]*\\)", "")
                        .replace("|", "\\|");
        return "| `%s` | `%s` | %s | %s |\n"
                .formatted(
                        flag,
                        Main.variableOf(flag),
                        defaultValue == null || defaultValue.isEmpty() ? "none" : defaultValue,
                        meaning);
    }
}
