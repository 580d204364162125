package org.fuchsiaspindle.daemon.agent;

import java.time.Duration;
import org.fuchsiaspindle.daemon.agent.target.SmallResponse;
import org.fuchsiaspindle.daemon.agent.target.TargetClient;
import org.fuchsiaspindle.daemon.agent.target.TargetExchange;

/** Cancels runs at the target. Confined to the agent's event loop. */
final class RunCancellation {

    private static final int NOT_FOUND = 404;
    private static final int MAX_ATTEMPTS = 4;
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RETRY_DELAY = Duration.ofMillis(20);

    private final TargetClient client;
    private final AgentLoop loop;

    RunCancellation(TargetClient client, AgentLoop loop) {
        this.client = client;
        this.loop = loop;
    }

    /**
     * Aborts a run and asks the engine to stop its stream.
     *
     * @return true if the target may have received the request
     */
    boolean cancel(TargetRun run) {
        boolean sent = run.abort();
        if (sent && run.isEngine()) {
            send(run, 1);
        }
        return sent;
    }

    private void send(TargetRun run, int attempt) {
        TargetExchange exchange =
                client.send(
                        EngineRequests.cancel(run.requestId()),
                        SmallResponse.of(
                                (status, body) -> {
                                    // The cancellation may overtake the request on another
                                    // connection.
                                    boolean notYetReceived = status == NOT_FOUND && !run.hasToken();
                                    if (notYetReceived || status == SmallResponse.EXCHANGE_FAILED) {
                                        retry(run, attempt);
                                    }
                                }));
        loop.after(TIMEOUT.toNanos(), exchange::abort);
    }

    private void retry(TargetRun run, int attempt) {
        if (attempt < MAX_ATTEMPTS) {
            loop.after(RETRY_DELAY.toNanos(), () -> send(run, attempt + 1));
        }
    }
}
