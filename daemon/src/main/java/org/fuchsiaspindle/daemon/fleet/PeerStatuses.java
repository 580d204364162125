package org.fuchsiaspindle.daemon.fleet;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.PeerStatus;
import org.fuchsiaspindle.wire.transport.FleetConnection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends this entry's status to the connected entries and keeps the newest status of each.
 *
 * <p>Thread-safe. Each component with fields in the status registers a contributor that sets them.
 */
public final class PeerStatuses implements AutoCloseable {

    /** Interval between two statuses. */
    public static final Duration INTERVAL = Duration.ofSeconds(1);

    private static final Logger LOG = LoggerFactory.getLogger(PeerStatuses.class);

    private final FleetDirectory directory;
    private final Clock clock;
    private final Map<String, Received> statuses = new ConcurrentHashMap<>();
    private final Map<FleetConnection, Long> minOffsets = new ConcurrentHashMap<>();
    private final List<Consumer<PeerStatus.Builder>> contributors = new CopyOnWriteArrayList<>();
    private final List<BiConsumer<FleetConnection, PeerStatus>> listeners =
            new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(
                    Thread.ofPlatform().daemon().name("peer-status").factory());

    /**
     * A status and the time of its arrival.
     *
     * @param connection the peer's connection
     * @param status the status
     * @param receivedNanos monotonic time of its arrival
     * @param sentNanos estimated time of sending by this process's monotonic clock; earlier than
     *     the arrival by any delay that a network fault added, so that ages in the status are not
     *     understated
     */
    public record Received(
            FleetConnection connection, PeerStatus status, long receivedNanos, long sentNanos) {}

    private PeerStatuses(FleetDirectory directory, Clock clock) {
        this.directory = directory;
        this.clock = clock;
    }

    /**
     * Creates a registry that receives statuses from a dispatcher; sends none before {@link
     * #start}.
     *
     * @param dispatcher delivers the {@code PeerStatus} messages
     * @param directory the connected entries
     * @param clock the clock
     */
    public static PeerStatuses create(
            FrameDispatcher dispatcher, FleetDirectory directory, Clock clock) {
        PeerStatuses peerStatuses =
                new PeerStatuses(
                        checkNotNull(directory, "directory"), checkNotNull(clock, "clock"));
        dispatcher.register(Frame.BodyCase.PEER_STATUS, peerStatuses::receive);
        dispatcher.onClosed(peerStatuses::removeConnection);
        return peerStatuses;
    }

    /** Starts to send a status periodically. */
    public void start() {
        timer.scheduleWithFixedDelay(
                this::sendLoggingErrors, 0, INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Registers a contributor that sets fields of each status; it must not block. */
    public void addContributor(Consumer<PeerStatus.Builder> contributor) {
        contributors.add(checkNotNull(contributor, "contributor"));
    }

    /** Registers a listener for new statuses; it runs on I/O threads and must not block. */
    public void onStatus(BiConsumer<FleetConnection, PeerStatus> listener) {
        listeners.add(checkNotNull(listener, "listener"));
    }

    /** Sends a status to all connected entries immediately, for example after a change. */
    public void sendNow() {
        PeerStatus.Builder status =
                PeerStatus.newBuilder().setSentMs(TimeUnit.NANOSECONDS.toMillis(clock.nanoTime()));
        contributors.forEach(contributor -> contributor.accept(status));
        Frame frame = Frame.newBuilder().setPeerStatus(status).build();
        directory.entries().forEach(connection -> connection.send(frame));
    }

    /**
     * Returns the newest status of an entry, empty if none was received on its current connection.
     */
    public Optional<Received> of(String instanceId) {
        return Optional.ofNullable(statuses.get(instanceId));
    }

    /** Returns the newest statuses of all connected entries. */
    public List<Received> all() {
        return List.copyOf(statuses.values());
    }

    /** Returns the newest statuses of the entries that have sent one within the given time. */
    public List<Received> notOlderThan(Duration age) {
        long now = clock.nanoTime();
        return statuses.values().stream()
                .filter(received -> now - received.receivedNanos() <= age.toNanos())
                .toList();
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }

    private void sendLoggingErrors() {
        try {
            sendNow();
        } catch (RuntimeException e) {
            LOG.error("member: cannot send status", e);
        }
    }

    private void receive(FleetConnection connection, Frame frame) {
        PeerStatus status = frame.getPeerStatus();
        long now = clock.nanoTime();
        long sentNanos =
                status.getSentMs() == 0 ? now : sentNanos(connection, status.getSentMs(), now);
        statuses.put(
                connection.peer().instanceId(), new Received(connection, status, now, sentNanos));
        listeners.forEach(listener -> listener.accept(connection, status));
    }

    /** Treats the smallest delay observed on a connection as regular and subtracts any excess. */
    private long sentNanos(FleetConnection connection, long sentMs, long now) {
        long offset = now - TimeUnit.MILLISECONDS.toNanos(sentMs);
        long smallest = minOffsets.merge(connection, offset, Math::min);
        return now - (offset - smallest);
    }

    private void removeConnection(FleetConnection connection) {
        minOffsets.remove(connection);
        statuses.computeIfPresent(
                connection.peer().instanceId(),
                (id, received) -> received.connection() == connection ? null : received);
    }
}
