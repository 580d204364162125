package org.fuchsiaspindle.gateway.online;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.fuchsiaspindle.core.contract.KeyDigest;
import org.fuchsiaspindle.core.serving.Route;
import org.fuchsiaspindle.core.serving.ServingConfig;
import org.fuchsiaspindle.core.serving.StopWindow;
import org.fuchsiaspindle.core.workspace.CallerAccess;
import org.fuchsiaspindle.core.workspace.WorkspaceDirectory;
import org.fuchsiaspindle.gateway.limit.WorkspaceLimits;
import org.fuchsiaspindle.gateway.prompt.PromptGuard;
import org.fuchsiaspindle.gateway.slot.SlotClient;
import org.fuchsiaspindle.gateway.target.TargetFleet;
import org.fuchsiaspindle.gateway.telemetry.GatewayMetrics;
import org.fuchsiaspindle.gateway.view.FleetViewHolder;
import org.fuchsiaspindle.platform.ingress.ClientExchange;

/**
 * Starts the processing of online requests, and holds what they share.
 *
 * <p>Confined to its event loop.
 */
public final class OnlineDispatcher {

    private final EventLoop loop;
    private final FleetViewHolder viewHolder;
    private final TargetFleet fleet;
    private final SlotClient slots;
    private final PromptGuard promptGuard;
    private final WorkspaceLimits limits;
    private final GatewayMetrics metrics;
    private final Supplier<Optional<StopWindow>> stopWindow;
    private final ServiceTimes serviceTimes = new ServiceTimes();

    private OnlineDispatcher(
            EventLoop loop,
            FleetViewHolder viewHolder,
            TargetFleet fleet,
            SlotClient slots,
            PromptGuard promptGuard,
            WorkspaceLimits limits,
            GatewayMetrics metrics,
            Supplier<Optional<StopWindow>> stopWindow) {
        this.loop = loop;
        this.viewHolder = viewHolder;
        this.fleet = fleet;
        this.slots = slots;
        this.promptGuard = promptGuard;
        this.limits = limits;
        this.metrics = metrics;
        this.stopWindow = stopWindow;
    }

    /**
     * Creates a dispatcher.
     *
     * @param loop its event loop, not null
     * @param viewHolder the configuration in force, not null
     * @param fleet the targets, not null
     * @param slots assigns slots of targets, not null
     * @param promptGuard knows the prompts that crash targets, not null
     * @param limits the limits of workspaces, not null
     * @param metrics counts requests, not null
     * @param stopWindow the graceful stop in progress, if there is one; not null
     */
    public static OnlineDispatcher create(
            EventLoop loop,
            FleetViewHolder viewHolder,
            TargetFleet fleet,
            SlotClient slots,
            PromptGuard promptGuard,
            WorkspaceLimits limits,
            GatewayMetrics metrics,
            Supplier<Optional<StopWindow>> stopWindow) {
        return new OnlineDispatcher(
                checkNotNull(loop, "loop"),
                checkNotNull(viewHolder, "viewHolder"),
                checkNotNull(fleet, "fleet"),
                checkNotNull(slots, "slots"),
                checkNotNull(promptGuard, "promptGuard"),
                checkNotNull(limits, "limits"),
                checkNotNull(metrics, "metrics"),
                checkNotNull(stopWindow, "stopWindow"));
    }

    /** Handles a request on a route; the response is sent now or later. */
    public void handle(ClientExchange exchange, Route route, String service, CallerAccess access) {
        new OnlineCall(this, exchange, route, service, access).start();
    }

    /** Returns the access that the configuration in force gives to a caller on a route. */
    CallerAccess access(Route route, Optional<KeyDigest> key) {
        WorkspaceDirectory directory =
                viewHolder
                        .view()
                        .config()
                        .map(ServingConfig::workspaces)
                        .orElse(WorkspaceDirectory.NONE);
        return CallerAccess.of(directory, !route.isPublic(), key);
    }

    EventLoop loop() {
        return loop;
    }

    TargetFleet fleet() {
        return fleet;
    }

    SlotClient slots() {
        return slots;
    }

    PromptGuard promptGuard() {
        return promptGuard;
    }

    WorkspaceLimits limits() {
        return limits;
    }

    GatewayMetrics metrics() {
        return metrics;
    }

    /** Returns whether the process runs for some time yet. */
    boolean hasTimeFor(Duration time) {
        return stopWindow
                .get()
                .map(window -> window.hasTimeFor(System.nanoTime(), time))
                .orElse(true);
    }

    ServiceTimes serviceTimes() {
        return serviceTimes;
    }
}
