package org.fuchsiaspindle.daemon.entry.limit;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.fuchsiaspindle.core.config.ConfigSource;
import org.fuchsiaspindle.core.contract.Contract;
import org.fuchsiaspindle.core.error.Executed;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.limit.CustomerShare;
import org.fuchsiaspindle.core.limit.Demand;
import org.fuchsiaspindle.core.limit.Share;
import org.fuchsiaspindle.core.limit.ShareGranter;
import org.fuchsiaspindle.core.limit.ShareHolder;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.daemon.fleet.FleetDirectory;
import org.fuchsiaspindle.daemon.fleet.FrameDispatcher;
import org.fuchsiaspindle.wire.proto.CustomerDemand;
import org.fuchsiaspindle.wire.proto.CustomerGrant;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.proto.Role;
import org.fuchsiaspindle.wire.proto.ShareGrant;
import org.fuchsiaspindle.wire.proto.ShareRequest;
import org.fuchsiaspindle.wire.transport.FleetConnection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Enforces customer limits across all entries: admits requests within this entry's shares and
 * grants shares to other entries.
 *
 * <p>Thread-safe; {@link #acquire} locks only the customer's own state and never blocks. See {@code
 * org.fuchsiaspindle.core.limit} for the bound that holds when entries fail or are partitioned.
 */
public final class SharedCustomerLimits implements CustomerLimits, AutoCloseable {

    /** Interval at which shares are requested. */
    public static final Duration INTERVAL = Duration.ofSeconds(1);

    /**
     * Delay before the first share of a customer is requested, which batches the requests for
     * several customers.
     */
    private static final Duration FIRST_REQUEST_DELAY = Duration.ofMillis(5);

    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(10);
    private static final Duration CONCURRENCY_RETRY_AFTER = Duration.ofSeconds(1);
    private static final Logger LOG = LoggerFactory.getLogger(SharedCustomerLimits.class);

    private final String self;
    private final ConfigSource config;
    private final FleetDirectory directory;
    private final Supplier<ShareGranter.Fleet> view;
    private final Clock clock;
    private final ShareHolder holder;
    private final ShareGranter granter;
    private final Map<FleetConnection, Map<Long, Long>> requestTimes = new ConcurrentHashMap<>();
    private final AtomicBoolean requestScheduled = new AtomicBoolean();
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(
                    Thread.ofPlatform().daemon().name("limits").factory());

    /** The newest view; only the timer thread replaces it. */
    private volatile ShareGranter.Fleet fleet;

    private SharedCustomerLimits(
            String self,
            ConfigSource config,
            FleetDirectory directory,
            Supplier<ShareGranter.Fleet> view,
            Clock clock) {
        this.self = checkNotNull(self, "self");
        this.config = checkNotNull(config, "config");
        this.directory = checkNotNull(directory, "directory");
        this.view = checkNotNull(view, "view");
        this.clock = checkNotNull(clock, "clock");
        this.holder = ShareHolder.create(self);
        this.granter = ShareGranter.create(self);
        this.fleet = view.get();
        holder.updateMembers(fleet.ring(), fleet.gone());
    }

    /**
     * Creates limits; no shares are exchanged before {@link #start}.
     *
     * @param self identifier of this instance
     * @param config the contracts
     * @param directory the connected entries
     * @param view the entries between which limits are divided, in production a {@link LimitView}
     * @param dispatcher delivers {@code ShareRequest} and {@code ShareGrant} messages
     * @param clock the clock
     */
    public static SharedCustomerLimits create(
            String self,
            ConfigSource config,
            FleetDirectory directory,
            Supplier<ShareGranter.Fleet> view,
            FrameDispatcher dispatcher,
            Clock clock) {
        SharedCustomerLimits limits =
                new SharedCustomerLimits(self, config, directory, view, clock);
        dispatcher.register(Frame.BodyCase.SHARE_REQUEST, limits::receiveRequest);
        dispatcher.register(Frame.BodyCase.SHARE_GRANT, limits::receiveGrant);
        dispatcher.onClosed(limits.requestTimes::remove);
        return limits;
    }

    /** Starts requesting shares once per second. */
    public void start() {
        timer.scheduleAtFixedRate(
                () -> runLogged(this::tick), 0, INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the entries to which connections are needed: all in a small fleet, otherwise the
     * granters of the customers that send requests to this entry.
     */
    public Set<String> neededPeers() {
        ImmutableSet<String> entries = fleet.ring().entries();
        return entries.size() <= LimitView.SMALL_FLEET
                ? entries
                : holder.demands(clock.nanoTime()).keySet();
    }

    @Override
    public Permit acquire(Contract contract) {
        String customer = contract.customer();
        long now = clock.nanoTime();
        CustomerShare.Result result = holder.acquire(customer, contract.online().limits(), now);
        if (!holder.hasGrant(customer, now)) {
            scheduleRequest();
        }
        return switch (result) {
            case ADMITTED -> permit(customer);
            case RATE_LIMITED ->
                    throw refusal(
                            ResultCode.RATE_LIMITED,
                            "customer " + customer + " has exceeded its request rate",
                            holder.retryAfter(customer, now, MAX_RETRY_AFTER));
            case CONCURRENCY_LIMITED ->
                    throw refusal(
                            ResultCode.CONCURRENCY_LIMITED,
                            "customer " + customer + " has too many running requests",
                            CONCURRENCY_RETRY_AFTER);
        };
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }

    private Permit permit(String customer) {
        AtomicBoolean open = new AtomicBoolean(true);
        return () -> {
            if (open.compareAndSet(true, false)) {
                holder.release(customer);
            }
        };
    }

    private static FuchsiaspindleException refusal(
            ResultCode code, String message, Duration retryAfter) {
        return new FuchsiaspindleException(
                code, message, Executed.NO, Optional.of(retryAfter), null);
    }

    private void scheduleRequest() {
        if (!requestScheduled.compareAndSet(false, true)) {
            return;
        }
        try {
            timer.schedule(
                    () -> {
                        requestScheduled.set(false);
                        runLogged(this::requestShares);
                    },
                    FIRST_REQUEST_DELAY.toMillis(),
                    TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.debug("limit: no shares requested, the process is stopping");
        }
    }

    /** Updates the view, removes expired state and requests shares; called once per second. */
    void tick() {
        ShareGranter.Fleet before = fleet;
        fleet = view.get();
        if (!fleet.gone().equals(before.gone()) || fleet.ring() != before.ring()) {
            LOG.info("limit: entries={} gone={}", fleet.ring().entries().size(), fleet.gone());
        }
        holder.updateMembers(fleet.ring(), fleet.gone());
        long now = clock.nanoTime();
        holder.prune(now);
        synchronized (granter) {
            granter.prune(fleet.ring(), now);
        }
        requestTimes
                .values()
                .forEach(
                        requests ->
                                requests.values().removeIf(sentNanos -> isExpired(sentNanos, now)));
        requestShares();
    }

    /**
     * Requests shares from all granters. In a small fleet, entries that are not granters for any
     * demand receive an empty request.
     */
    void requestShares() {
        long now = clock.nanoTime();
        ImmutableMap<String, ImmutableMap<String, Demand>> demands = holder.demands(now);
        boolean isSmallFleet = fleet.ring().entries().size() <= LimitView.SMALL_FLEET;
        for (FleetConnection connection : directory.entries()) {
            String peer = connection.peer().instanceId();
            if (isSmallFleet || demands.containsKey(peer)) {
                send(connection, demands.getOrDefault(peer, ImmutableMap.of()), now);
            }
        }
        ImmutableMap<String, Demand> own = demands.getOrDefault(self, ImmutableMap.of());
        ImmutableMap<String, Share> grants = grant(self, fleet.gone(), own);
        holder.applyGrants(self, grants, now + ShareGranter.VALIDITY.toNanos());
    }

    private void send(FleetConnection connection, ImmutableMap<String, Demand> demands, long now) {
        ShareRequest.Builder request = ShareRequest.newBuilder().addAllGone(fleet.gone());
        demands.forEach(
                (customer, demand) ->
                        request.addDemands(
                                CustomerDemand.newBuilder()
                                        .setCustomer(customer)
                                        .setRate(demand.rate())
                                        .setConcurrency(demand.concurrency())
                                        .setRunning(demand.running())));
        long stream = connection.nextStreamId();
        requestTimes.computeIfAbsent(connection, key -> new ConcurrentHashMap<>()).put(stream, now);
        boolean sent =
                connection.send(
                        Frame.newBuilder().setStreamId(stream).setShareRequest(request).build());
        if (!sent) {
            requestTimes.remove(connection);
        }
    }

    private void receiveRequest(FleetConnection connection, Frame frame) {
        if (connection.peer().role() != Role.ROLE_ENTRY) {
            return;
        }
        ImmutableMap.Builder<String, Demand> demands = ImmutableMap.builder();
        for (CustomerDemand demand : frame.getShareRequest().getDemandsList()) {
            demands.put(
                    demand.getCustomer(),
                    new Demand(demand.getRate(), demand.getConcurrency(), demand.getRunning()));
        }
        ImmutableMap<String, Share> grants =
                grant(
                        connection.peer().instanceId(),
                        ImmutableSet.copyOf(frame.getShareRequest().getGoneList()),
                        demands.buildKeepingLast());
        ShareGrant.Builder response =
                ShareGrant.newBuilder()
                        .setValidityMs(Math.toIntExact(ShareGranter.VALIDITY.toMillis()));
        grants.forEach(
                (customer, share) ->
                        response.addGrants(
                                CustomerGrant.newBuilder()
                                        .setCustomer(customer)
                                        .setRate(share.rate())
                                        .setConcurrency(share.concurrency())));
        connection.send(
                Frame.newBuilder()
                        .setStreamId(frame.getStreamId())
                        .setShareGrant(response)
                        .build());
    }

    private ImmutableMap<String, Share> grant(
            String to, ImmutableSet<String> gone, ImmutableMap<String, Demand> demands) {
        ImmutableMap<String, Contract> contracts = config.current().contracts();
        synchronized (granter) {
            return granter.handleRequest(
                    to,
                    gone,
                    demands,
                    fleet,
                    customer ->
                            Optional.ofNullable(contracts.get(customer))
                                    .map(contract -> contract.online().limits()),
                    clock.nanoTime());
        }
    }

    private void receiveGrant(FleetConnection connection, Frame frame) {
        Map<Long, Long> requests = requestTimes.get(connection);
        Long sentNanos = requests == null ? null : requests.remove(frame.getStreamId());
        if (sentNanos == null) {
            // The grants arrived after they had expired.
            return;
        }
        ShareGrant grant = frame.getShareGrant();
        ImmutableMap.Builder<String, Share> grants = ImmutableMap.builder();
        for (CustomerGrant customerGrant : grant.getGrantsList()) {
            grants.put(
                    customerGrant.getCustomer(),
                    new Share(customerGrant.getRate(), customerGrant.getConcurrency()));
        }
        long validity =
                Math.min(
                        TimeUnit.MILLISECONDS.toNanos(grant.getValidityMs()),
                        ShareGranter.VALIDITY.toNanos());
        holder.applyGrants(
                connection.peer().instanceId(), grants.buildKeepingLast(), sentNanos + validity);
    }

    private static boolean isExpired(long sentNanos, long now) {
        return now - sentNanos >= ShareGranter.VALIDITY.toNanos();
    }

    private static void runLogged(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOG.error("limit: share exchange failed", e);
        }
    }
}
