package org.fuchsiaspindle.gateway.slot;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.fuchsiaspindle.gateway.peer.PeerMesh;
import org.fuchsiaspindle.wire.peer.CoordinatorCheck;
import org.fuchsiaspindle.wire.peer.PeerFrame;

/**
 * Finds out whether coordinators still answer: a coordinator that leaves a check unanswered is
 * avoided until it answers again.
 *
 * <p>Confined to the event loop of the request path.
 */
final class CoordinatorChecks {

    private static final Duration INTERVAL = Duration.ofMillis(500);

    /** Time between two checks while a coordinator does not answer. */
    private static final Duration UNANSWERED_INTERVAL = Duration.ofMillis(60);

    /** Time that an answer to a check may take before the coordinator is avoided. */
    private static final Duration TIMEOUT = Duration.ofMillis(120);

    private final SlotClient client;
    private final Coordinators coordinators;
    private final PeerMesh mesh;

    /** When the oldest unanswered check was sent, by coordinator. */
    private final Map<String, Long> sentNanosByIp = new HashMap<>();

    private ScheduledFuture<?> next;

    CoordinatorChecks(SlotClient client, Coordinators coordinators, PeerMesh mesh) {
        this.client = checkNotNull(client, "client");
        this.coordinators = checkNotNull(coordinators, "coordinators");
        this.mesh = checkNotNull(mesh, "mesh");
    }

    /**
     * Starts to check the coordinators that are avoided, and to tell the client after each round.
     */
    void start() {
        schedule(INTERVAL);
    }

    private void schedule(Duration delay) {
        if (next != null) {
            next.cancel(false);
        }
        next = client.schedule(this::checkAll, delay);
    }

    private void checkAll() {
        long now = System.nanoTime();
        sentNanosByIp.forEach(
                (ip, sentNanos) -> {
                    if (now - sentNanos > TIMEOUT.toNanos()) {
                        coordinators.recordUnanswered(ip, sentNanos, now);
                    }
                });
        sentNanosByIp.keySet().removeIf(ip -> !mesh.isConnected(ip));
        coordinators.unanswering().forEach(this::check);
        client.onCoordinatorsChecked(now);
        schedule(sentNanosByIp.isEmpty() ? INTERVAL : UNANSWERED_INTERVAL);
    }

    /** Asks a coordinator, which may be this gateway, to answer. */
    void check(String ip) {
        if (!ip.equals(client.ip())) {
            if (sentNanosByIp.putIfAbsent(ip, System.nanoTime()) == null) {
                schedule(UNANSWERED_INTERVAL);
            }
            client.send(ip, frame(false));
        }
    }

    /** Records that a request to a coordinator was not answered, and checks whether it answers. */
    void recordUnanswered(String ip, long askedNanos) {
        coordinators.recordUnanswered(ip, askedNanos, System.nanoTime());
        check(ip);
    }

    /** Records that a gateway has sent anything. */
    void recordAnswer(String ip) {
        sentNanosByIp.remove(ip);
        coordinators.recordAnswer(ip);
    }

    /** Handles the check of another gateway, or its answer. */
    void onCheck(String ip, CoordinatorCheck check) {
        if (!check.getResponse()) {
            client.send(ip, frame(true));
        }
    }

    private static PeerFrame frame(boolean response) {
        return PeerFrame.newBuilder()
                .setCoordinatorCheck(CoordinatorCheck.newBuilder().setResponse(response))
                .build();
    }
}
