package org.fuchsiaspindle.daemon.entry.dispatch;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsiaspindle.daemon.fleet.FrameDispatcher;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.transport.FleetConnection;

/**
 * Delivers agents' messages to the attempts that they belong to.
 *
 * <p>Thread-safe. A message is dropped unless its connection, its stream and its attempt number all
 * match an attempt that is still open, so a late message never reaches another request.
 */
final class AttemptRegistry {

    private final Map<FleetConnection, Map<Long, Attempt>> attempts = new ConcurrentHashMap<>();

    private AttemptRegistry() {}

    static AttemptRegistry create(FrameDispatcher frames) {
        AttemptRegistry registry = new AttemptRegistry();
        frames.register(
                Frame.BodyCase.STARTED,
                (connection, frame) ->
                        registry.offer(
                                connection,
                                frame,
                                frame.getStarted().getAttempt(),
                                new AttemptEvent.Started()));
        frames.register(
                Frame.BodyCase.CHUNK,
                (connection, frame) ->
                        registry.offer(
                                connection,
                                frame,
                                frame.getChunk().getAttempt(),
                                new AttemptEvent.Output(frame.getChunk())));
        frames.register(
                Frame.BodyCase.FINISHED,
                (connection, frame) ->
                        registry.offer(
                                connection,
                                frame,
                                frame.getFinished().getAttempt(),
                                new AttemptEvent.Completed(frame.getFinished())));
        frames.register(
                Frame.BodyCase.REFUSED,
                (connection, frame) ->
                        registry.offer(
                                connection,
                                frame,
                                frame.getRefused().getAttempt(),
                                new AttemptEvent.Rejected(frame.getRefused())));
        frames.onClosed(registry::connectionClosed);
        return registry;
    }

    /** Opens an attempt, which receives events from now on. */
    Attempt open(FleetConnection connection, int number) {
        Attempt attempt = new Attempt(connection, connection.nextStreamId(), number);
        attempts.computeIfAbsent(connection, key -> new ConcurrentHashMap<>())
                .put(attempt.streamId(), attempt);
        if (!connection.isOpen()) {
            connectionClosed(connection);
        }
        return attempt;
    }

    /** Closes an attempt; later messages for it are dropped. */
    void close(Attempt attempt) {
        Map<Long, Attempt> connectionAttempts = attempts.get(attempt.connection());
        if (connectionAttempts != null) {
            connectionAttempts.remove(attempt.streamId());
        }
    }

    private void offer(
            FleetConnection connection, Frame frame, int attemptNumber, AttemptEvent event) {
        Map<Long, Attempt> connectionAttempts = attempts.get(connection);
        Attempt attempt =
                connectionAttempts == null ? null : connectionAttempts.get(frame.getStreamId());
        if (attempt != null && attempt.number() == attemptNumber) {
            attempt.offer(event);
        }
    }

    private void connectionClosed(FleetConnection connection) {
        Map<Long, Attempt> connectionAttempts = attempts.remove(connection);
        if (connectionAttempts != null) {
            connectionAttempts
                    .values()
                    .forEach(attempt -> attempt.offer(new AttemptEvent.Lost("connection closed")));
        }
    }
}
