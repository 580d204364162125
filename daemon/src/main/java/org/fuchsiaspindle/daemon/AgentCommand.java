package org.fuchsiaspindle.daemon;

import java.net.URI;
import java.util.concurrent.Callable;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.id.Ids;
import org.fuchsiaspindle.daemon.agent.AgentDaemon;
import org.fuchsiaspindle.daemon.settings.AgentSettings;
import org.fuchsiaspindle.daemon.settings.ProcessOptions;
import org.fuchsiaspindle.platform.instance.ListedInstance.TargetKind;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Runs an agent until the process receives a termination signal. */
@Command(
        name = "agent",
        mixinStandardHelpOptions = true,
        description = "Runs an agent, which controls admission to one target.")
final class AgentCommand implements Callable<Integer> {

    @Mixin private ProcessOptions process = new ProcessOptions();

    @Option(
            names = "--target-url",
            required = true,
            description = "Base URL of the target, http://ip:port.")
    private URI targetUrl;

    @Option(
            names = "--target-kind",
            required = true,
            description = "Kind of the target: ENGINE or SERVICE.")
    private TargetKind targetKind;

    @Option(
            names = "--target-name",
            required = true,
            description = "Name of the engine or of the plain service.")
    private String targetName;

    @Override
    public Integer call() {
        if (!Ids.isName(targetName)) {
            throw new FuchsiaspindleException(
                    ResultCode.INVALID_SETTING, "--target-name: not a valid name: " + targetName);
        }
        AgentSettings settings =
                new AgentSettings(process.settings(), targetUrl, targetKind, targetName);
        AgentDaemon daemon = AgentDaemon.start(settings);
        Shutdown.awaitAndRun(daemon::stop);
        return 0;
    }
}
