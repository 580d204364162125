package org.fuchsiaspindle.daemon.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.LoadReport;
import org.fuchsiaspindle.wire.transport.FleetConnection;

/** Keeps the newest load report of each connected agent. Thread-safe; look-ups are O(1). */
public final class LoadReports {

    private final Clock clock;
    private final Map<String, Received> reports = new ConcurrentHashMap<>();
    private final List<BiConsumer<FleetConnection, LoadReport>> listeners =
            new CopyOnWriteArrayList<>();

    /**
     * A report and the time of its arrival.
     *
     * @param connection the agent's connection
     * @param report the report
     * @param receivedNanos monotonic time of its arrival
     */
    public record Received(FleetConnection connection, LoadReport report, long receivedNanos) {}

    private LoadReports(Clock clock) {
        this.clock = clock;
    }

    /** Creates a registry that receives the reports from a dispatcher. */
    public static LoadReports create(FrameDispatcher dispatcher, Clock clock) {
        LoadReports reports = new LoadReports(checkNotNull(clock, "clock"));
        dispatcher.register(Frame.BodyCase.LOAD_REPORT, reports::receive);
        dispatcher.onClosed(reports::removeConnection);
        return reports;
    }

    /**
     * Returns the newest report of an agent, empty if none was received on its current connection.
     */
    public Optional<Received> of(String instanceId) {
        return Optional.ofNullable(reports.get(instanceId));
    }

    /** Returns the newest reports of all connected agents. */
    public List<Received> all() {
        return List.copyOf(reports.values());
    }

    /** Registers a listener for new reports; it runs on I/O threads and must not block. */
    public void onReport(BiConsumer<FleetConnection, LoadReport> listener) {
        listeners.add(checkNotNull(listener, "listener"));
    }

    private void receive(FleetConnection connection, Frame frame) {
        LoadReport report = frame.getLoadReport();
        reports.put(
                connection.peer().instanceId(), new Received(connection, report, clock.nanoTime()));
        listeners.forEach(listener -> listener.accept(connection, report));
    }

    private void removeConnection(FleetConnection connection) {
        reports.computeIfPresent(
                connection.peer().instanceId(),
                (id, received) -> received.connection() == connection ? null : received);
    }
}
