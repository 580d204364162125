package org.fuchsiaspindle.daemon.entry.dispatch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import org.fuchsiaspindle.core.routing.RecentRouteDecisions;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.daemon.entry.metrics.EntryMetrics;
import org.fuchsiaspindle.daemon.fleet.FleetDirectory;
import org.fuchsiaspindle.daemon.fleet.FrameDispatcher;
import org.fuchsiaspindle.daemon.fleet.LoadReports;

/** Runs online requests on targets. Thread-safe. */
public final class Dispatcher {

    private final AttemptRegistry attempts;
    private final RoutedTargets targets;
    private final RetryBudget retryBudget = new RetryBudget();
    private final EntryMetrics metrics;
    private final Clock clock;

    private Dispatcher(
            AttemptRegistry attempts, RoutedTargets targets, EntryMetrics metrics, Clock clock) {
        this.attempts = attempts;
        this.targets = targets;
        this.metrics = metrics;
        this.clock = clock;
    }

    /**
     * Creates a dispatcher and registers it for the agents' messages.
     *
     * @param frames delivers the agents' messages
     * @param directory the connections to agents
     * @param reports the agents' load reports
     * @param metrics counts requests, attempts and retries
     * @param clock the clock that measures time limits
     * @param origin where requests are routed from
     */
    public static Dispatcher create(
            FrameDispatcher frames,
            FleetDirectory directory,
            LoadReports reports,
            EntryMetrics metrics,
            Clock clock,
            RoutingOrigin origin) {
        return new Dispatcher(
                AttemptRegistry.create(frames),
                RoutedTargets.create(frames, directory, reports, clock, origin),
                checkNotNull(metrics, "metrics"),
                checkNotNull(clock, "clock"));
    }

    /** Returns the number of targets that requests can be routed to. */
    public long usableTargets() {
        return targets.usableTargets();
    }

    /** Returns the newest routing decisions. */
    public RecentRouteDecisions recentDecisions() {
        return targets.recentDecisions();
    }

    /**
     * Runs a request to completion, with further attempts where that is safe. Blocks, so it should
     * be called on a virtual thread.
     *
     * @param call the request
     * @param sink receives the output of a model
     * @return the final result, without the output that was passed to the sink
     * @throws org.fuchsiaspindle.core.error.FuchsiaspindleException if the request was refused or
     *     failed; it states whether the request ran
     * @throws IOException if the caller's connection broke
     */
    public CallResult run(OnlineCall call, OutputSink sink) throws IOException {
        retryBudget.countRequest();
        metrics.countRequest(kind(call));
        long start = clock.nanoTime();
        CallResult result =
                new CallExecution(attempts, targets, retryBudget, metrics, clock, call, sink).run();
        if (call.isService()) {
            metrics.observeServiceCall(call.target(), clock.nanoTime() - start);
        }
        return result;
    }

    private static String kind(OnlineCall call) {
        return switch (call.kind()) {
            case REQUEST_KIND_CHAT -> "chat";
            case REQUEST_KIND_TEXT -> "text";
            default -> "service";
        };
    }
}
