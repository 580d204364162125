package org.fuchsiaspindle.daemon.agent;

import com.google.common.net.HostAndPort;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fuchsiaspindle.core.config.ConfigSnapshot;
import org.fuchsiaspindle.core.config.ConfigSource;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.daemon.settings.AgentSettings;
import org.fuchsiaspindle.daemon.settings.ProcessSettings;
import org.fuchsiaspindle.platform.instance.ListedInstance.TargetKind;
import org.fuchsiaspindle.platform.memory.InMemoryInstances;
import org.fuchsiaspindle.platform.memory.InMemoryTable;
import org.fuchsiaspindle.platform.table.TableService;

/** An agent with a fake target and fake entries. */
final class AgentFixture implements AutoCloseable {

    static final String SECRET = "0123456789abcdef-test";
    private static final HostAndPort UNUSED = HostAndPort.fromParts("127.0.0.1", 1);
    private static final InetSocketAddress ANY_PORT =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private final List<FakeEntry> entries = new ArrayList<>();
    private final InMemoryInstances instances = InMemoryInstances.create();
    private final AgentDaemon daemon;
    private FakeTarget target;
    private boolean stopped;

    private AgentFixture(TargetKind kind, TableService table, AgentTiming timing, Clock clock) {
        target = new FakeTarget(0);
        ProcessSettings process =
                new ProcessSettings(
                        "agent-1",
                        "dc-1",
                        "region-1",
                        ANY_PORT,
                        ANY_PORT,
                        UNUSED,
                        SECRET,
                        List.of(),
                        Duration.ofSeconds(30));
        daemon =
                AgentDaemon.start(
                        new AgentSettings(process, target.url(), kind, "target-1"),
                        new AgentPlatform(
                                table,
                                instances,
                                Optional.of(ConfigSource.fixed(ConfigSnapshot.EMPTY)),
                                clock),
                        timing);
    }

    static AgentFixture engine() {
        return new AgentFixture(
                TargetKind.ENGINE, InMemoryTable.create(), AgentTiming.DEFAULT, Clock.system());
    }

    static AgentFixture engine(TableService table, AgentTiming timing) {
        return new AgentFixture(TargetKind.ENGINE, table, timing, Clock.system());
    }

    static AgentFixture engine(Clock clock) {
        return new AgentFixture(
                TargetKind.ENGINE, InMemoryTable.create(), AgentTiming.DEFAULT, clock);
    }

    static AgentFixture service() {
        return new AgentFixture(
                TargetKind.SERVICE, InMemoryTable.create(), AgentTiming.DEFAULT, Clock.system());
    }

    AgentDaemon daemon() {
        return daemon;
    }

    FakeTarget target() {
        return target;
    }

    InMemoryInstances instances() {
        return instances;
    }

    /** Connects an entry and waits until the agent offers capacity. */
    FakeEntry entry(String id) {
        FakeEntry entry = new FakeEntry(id, SECRET, daemon.fleetAddress());
        entries.add(entry);
        entry.awaitReport(report -> report.getCapacity() > 0);
        return entry;
    }

    void stopTarget() {
        target.close();
    }

    /** Starts a new target on the port of the stopped one. */
    void restartTarget() {
        target = new FakeTarget(target.url().getPort());
    }

    void stopDaemon() {
        stopped = true;
        daemon.stop();
    }

    @Override
    public void close() {
        entries.forEach(FakeEntry::close);
        if (!stopped) {
            daemon.stop();
        }
        target.close();
    }
}
