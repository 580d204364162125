package org.fuchsiaspindle.gateway.online;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.serving.RequestQueue;
import org.fuchsiaspindle.core.serving.Route;
import org.fuchsiaspindle.core.serving.TargetInstance;
import org.fuchsiaspindle.gateway.target.CallSort;
import org.fuchsiaspindle.gateway.target.TargetFleet;
import org.fuchsiaspindle.gateway.telemetry.GatewayMetrics;
import org.fuchsiaspindle.platform.ingress.ClientExchange;

/**
 * Starts online requests at targets and keeps those that have to wait, a line for each service.
 *
 * <p>Confined to its event loop.
 */
public final class OnlineDispatcher implements TargetFleet.CapacityListener {

    private static final Duration EXPIRY_INTERVAL = Duration.ofMillis(20);

    private final EventLoop loop;
    private final TargetFleet fleet;
    private final GatewayMetrics metrics;
    private final ServiceTimes times = new ServiceTimes();
    private final Map<String, RequestQueue<OnlineCall>> lines = new HashMap<>();
    private boolean expiryScheduled;

    private OnlineDispatcher(EventLoop loop, TargetFleet fleet, GatewayMetrics metrics) {
        this.loop = loop;
        this.fleet = fleet;
        this.metrics = metrics;
    }

    /** Creates a dispatcher. */
    public static OnlineDispatcher create(
            EventLoop loop, TargetFleet fleet, GatewayMetrics metrics) {
        return new OnlineDispatcher(
                checkNotNull(loop, "loop"),
                checkNotNull(fleet, "fleet"),
                checkNotNull(metrics, "metrics"));
    }

    /** Takes over a request of a route; it is answered now or later. */
    public void handle(ClientExchange exchange, Route route, String service) {
        new OnlineCall(this, exchange, route, service).start();
    }

    /** Returns whether a request waits for a target of a service. */
    public boolean hasWaiting(String service) {
        RequestQueue<OnlineCall> line = lines.get(service);
        return line != null && line.size() > 0;
    }

    @Override
    public void onCapacity() {
        for (RequestQueue<OnlineCall> line : lines.values()) {
            while (line.size() > 0 && startNext(line)) {
                continue;
            }
        }
    }

    EventLoop loop() {
        return loop;
    }

    TargetFleet fleet() {
        return fleet;
    }

    GatewayMetrics metrics() {
        return metrics;
    }

    ServiceTimes times() {
        return times;
    }

    /** Returns how long a new request of a priority would wait before it starts. */
    Duration estimateWait(String service, int priority, long now) {
        RequestQueue<OnlineCall> line = lines.get(service);
        int ahead = line == null ? 0 : line.ahead(priority, now);
        TargetFleet.OnlineShare share = fleet.onlineShare(service);
        double ownPart = share.all() == 0 ? 1 : Math.max(1, share.own()) / (double) share.all();
        int slots = (int) Math.max(1, fleet.openSlots(service) * ownPart);
        return RequestQueue.estimateWait(ahead, slots, times.average(service));
    }

    void await(String service, RequestQueue.Entry<OnlineCall> entry) {
        lines.computeIfAbsent(service, name -> new RequestQueue<>()).add(entry);
        scheduleExpiry();
    }

    void leave(String service, OnlineCall call) {
        RequestQueue<OnlineCall> line = lines.get(service);
        if (line != null) {
            line.remove(call);
        }
    }

    private boolean startNext(RequestQueue<OnlineCall> line) {
        Optional<OnlineCall> next = line.peek(System.nanoTime());
        if (next.isEmpty()) {
            return false;
        }
        OnlineCall call = next.get();
        Optional<TargetInstance> target =
                fleet.choose(call.service(), CallSort.ONLINE, call.triedTargets());
        if (target.isEmpty()) {
            return false;
        }
        line.remove(call);
        call.startAt(target.get());
        return true;
    }

    private void scheduleExpiry() {
        if (!expiryScheduled) {
            expiryScheduled = true;
            loop.schedule(this::expire, EXPIRY_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void expire() {
        expiryScheduled = false;
        long now = System.nanoTime();
        boolean waiting = false;
        for (RequestQueue<OnlineCall> line : lines.values()) {
            line.removeExpired(now).forEach(OnlineCall::waitExpired);
            waiting |= line.size() > 0;
        }
        if (waiting) {
            scheduleExpiry();
        }
    }
}
