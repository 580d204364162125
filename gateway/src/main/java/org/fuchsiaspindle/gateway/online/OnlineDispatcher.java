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
import org.fuchsiaspindle.gateway.target.TargetFleet;
import org.fuchsiaspindle.gateway.target.TrafficClass;
import org.fuchsiaspindle.gateway.telemetry.GatewayMetrics;
import org.fuchsiaspindle.platform.ingress.ClientExchange;

/**
 * Sends online requests to targets and queues those that have to wait, in one queue per service.
 *
 * <p>Confined to its event loop.
 */
public final class OnlineDispatcher implements TargetFleet.CapacityListener {

    private static final Duration EXPIRY_INTERVAL = Duration.ofMillis(20);

    private final EventLoop loop;
    private final TargetFleet fleet;
    private final GatewayMetrics metrics;
    private final ServiceTimes serviceTimes = new ServiceTimes();
    private final Map<String, RequestQueue<OnlineCall>> queues = new HashMap<>();
    private boolean expiryCheckScheduled;

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

    /** Handles a request on a route; the response is sent now or later. */
    public void handle(ClientExchange exchange, Route route, String service) {
        new OnlineCall(this, exchange, route, service).start();
    }

    /** Returns whether any request waits for a target of a service. */
    public boolean hasWaitingRequests(String service) {
        RequestQueue<OnlineCall> queue = queues.get(service);
        return queue != null && queue.size() > 0;
    }

    @Override
    public void onCapacity() {
        for (RequestQueue<OnlineCall> queue : queues.values()) {
            while (queue.size() > 0 && startNext(queue)) {
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

    ServiceTimes serviceTimes() {
        return serviceTimes;
    }

    /** Estimates how long a new request with a priority would wait for a target. */
    Duration estimateWait(String service, int priority, long now) {
        RequestQueue<OnlineCall> queue = queues.get(service);
        int requestsAhead = queue == null ? 0 : queue.ahead(priority, now);
        TargetFleet.OnlineCalls calls = fleet.onlineCalls(service);
        double localShare =
                calls.total() == 0 ? 1 : Math.max(1, calls.local()) / (double) calls.total();
        int slots = (int) Math.max(1, fleet.openSlots(service) * localShare);
        return RequestQueue.estimateWait(requestsAhead, slots, serviceTimes.average(service));
    }

    void enqueue(String service, RequestQueue.Entry<OnlineCall> entry) {
        queues.computeIfAbsent(service, name -> new RequestQueue<>()).add(entry);
        scheduleExpiryCheck();
    }

    void removeWaiting(String service, OnlineCall call) {
        RequestQueue<OnlineCall> queue = queues.get(service);
        if (queue != null) {
            queue.remove(call);
        }
    }

    private boolean startNext(RequestQueue<OnlineCall> queue) {
        Optional<OnlineCall> next = queue.peek(System.nanoTime());
        if (next.isEmpty()) {
            return false;
        }
        OnlineCall call = next.get();
        Optional<TargetInstance> target =
                fleet.choose(call.service(), TrafficClass.ONLINE, call.triedTargets());
        if (target.isEmpty()) {
            return false;
        }
        queue.remove(call);
        call.sendTo(target.get());
        return true;
    }

    private void scheduleExpiryCheck() {
        if (!expiryCheckScheduled) {
            expiryCheckScheduled = true;
            loop.schedule(this::removeExpired, EXPIRY_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void removeExpired() {
        expiryCheckScheduled = false;
        long now = System.nanoTime();
        boolean waiting = false;
        for (RequestQueue<OnlineCall> queue : queues.values()) {
            queue.removeExpired(now).forEach(OnlineCall::onWaitExpired);
            waiting |= queue.size() > 0;
        }
        if (waiting) {
            scheduleExpiryCheck();
        }
    }
}
