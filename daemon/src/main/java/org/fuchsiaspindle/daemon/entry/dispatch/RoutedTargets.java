package org.fuchsiaspindle.daemon.entry.dispatch;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicReference;
import org.fuchsiaspindle.core.routing.PrefixMap;
import org.fuchsiaspindle.core.routing.PromptPrefixes;
import org.fuchsiaspindle.core.routing.RecentRouteDecisions;
import org.fuchsiaspindle.core.routing.RouteCandidate;
import org.fuchsiaspindle.core.routing.RouteDecision;
import org.fuchsiaspindle.core.routing.RouteRecord;
import org.fuchsiaspindle.core.routing.Router;
import org.fuchsiaspindle.core.routing.RoutingTarget;
import org.fuchsiaspindle.core.routing.TargetLoad;
import org.fuchsiaspindle.core.routing.TargetView;
import org.fuchsiaspindle.core.time.Clock;
import org.fuchsiaspindle.daemon.fleet.FleetDirectory;
import org.fuchsiaspindle.daemon.fleet.FrameDispatcher;
import org.fuchsiaspindle.daemon.fleet.LoadReports;
import org.fuchsiaspindle.platform.instance.ListedInstance;
import org.fuchsiaspindle.wire.proto.LoadReport;
import org.fuchsiaspindle.wire.transport.FleetConnection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Chooses the target of each attempt from the connected agents and their reports.
 *
 * <p>Thread-safe. Requests read an immutable map of views. The views are rebuilt under a lock, only
 * when an agent connects, disconnects or changes its models.
 */
final class RoutedTargets {

    private static final Logger LOG = LoggerFactory.getLogger(RoutedTargets.class);
    private static final int MAX_PREFIXES = 16 * 1024;
    private static final int MAX_DECISIONS = 4096;

    /**
     * Largest number of prefix hashes processed per load report; agents send only a few at a time.
     */
    private static final int MAX_PREFIXES_PER_REPORT = 1024;

    /**
     * Number of disconnected targets whose health is retained, so that a reconnect does not reset
     * it.
     */
    private static final int MAX_DISCONNECTED = 64;

    /** Routing penalty: twice the network delay between data centres of one region. */
    private static final Duration OTHER_DATA_CENTRE_PENALTY = Duration.ofMillis(2);

    /** Routing penalty: twice the network delay between data centres of two regions. */
    private static final Duration OTHER_REGION_PENALTY = Duration.ofMillis(40);

    private final FleetDirectory directory;
    private final Clock clock;
    private final String entryId;
    private final String dataCentre;
    private final String region;
    private final PrefixMap prefixes = PrefixMap.create(MAX_PREFIXES);
    private final RecentRouteDecisions recentDecisions = RecentRouteDecisions.create(MAX_DECISIONS);
    private final Router router =
            Router.create(prefixes, () -> ThreadLocalRandom.current().nextLong());
    private final Map<String, Agent> agents = new ConcurrentHashMap<>();
    private final AtomicReference<ImmutableMap<ServiceName, TargetView>> views =
            new AtomicReference<>(ImmutableMap.of());

    /** The name of a model or of a plain service. */
    private record ServiceName(boolean plain, String name) {}

    /**
     * A connected agent.
     *
     * @param target routing state, kept over reconnects
     * @param connection the connection of the newest report
     * @param services the names of the models or of the service that the target serves
     * @param leaving true if the newest report states that the target is leaving
     */
    private record Agent(
            RoutingTarget target,
            FleetConnection connection,
            ImmutableSet<ServiceName> services,
            boolean leaving) {}

    /**
     * A chosen target.
     *
     * @param connection the agent's connection
     * @param candidate the decision's chosen candidate
     */
    record Choice(FleetConnection connection, RouteCandidate candidate) {}

    /** The outcome of an attempt with regard to the health of its target. */
    enum Outcome {
        ANSWERED,
        FAILED,
        /** Unrelated to the target's health, for example because the caller disconnected. */
        NOT_JUDGED
    }

    private RoutedTargets(
            FleetDirectory directory,
            Clock clock,
            String entryId,
            String dataCentre,
            String region) {
        this.directory = directory;
        this.clock = clock;
        this.entryId = entryId;
        this.dataCentre = dataCentre;
        this.region = region;
    }

    static RoutedTargets create(
            FrameDispatcher frames,
            FleetDirectory directory,
            LoadReports reports,
            Clock clock,
            RoutingOrigin origin) {
        RoutedTargets targets =
                new RoutedTargets(
                        directory,
                        clock,
                        origin.instanceId(),
                        origin.dataCentre(),
                        origin.region());
        reports.onReport(targets::receiveReport);
        frames.onClosed(connection -> targets.rebuild());
        return targets;
    }

    RecentRouteDecisions recentDecisions() {
        return recentDecisions;
    }

    /** Returns the number of targets that requests can be routed to. */
    long usableTargets() {
        return views.get().values().stream()
                .flatMap(view -> view.targets().stream())
                .filter(this::isUsable)
                .distinct()
                .count();
    }

    /**
     * Chooses a target and counts the attempt as sent to it.
     *
     * @param tried instances that must not be chosen again
     */
    Optional<Choice> choose(OnlineCall call, int attempt, Set<String> tried) {
        TargetView view =
                views.get()
                        .getOrDefault(
                                new ServiceName(call.isService(), call.target()), TargetView.EMPTY);
        RouteDecision decision =
                router.route(
                        view,
                        call.prompt(),
                        call.promptTokens(),
                        target -> !tried.contains(target.id()) && isUsable(target),
                        clock.nanoTime());
        record(call, attempt, decision);
        return decision.chosen()
                .flatMap(
                        chosen ->
                                directory
                                        .connectionTo(chosen.target().id())
                                        .map(connection -> new Choice(connection, chosen)))
                .map(
                        choice -> {
                            choice.candidate().target().recordSent();
                            return choice;
                        });
    }

    /** Updates the health and the cached prefixes of the target after an attempt. */
    void recordOutcome(Choice choice, PromptPrefixes prompt, Outcome outcome, int cachedTokens) {
        RoutingTarget target = choice.candidate().target();
        long now = clock.nanoTime();
        switch (outcome) {
            case ANSWERED -> {
                target.recordSuccess(now);
                target.recordCacheHit(choice.candidate().cachedTokens(), cachedTokens);
                for (int level = 0; level < prompt.size(); level++) {
                    prefixes.add(prompt.hash(level), target.id(), now);
                }
            }
            case FAILED -> target.recordFailure(now);
            case NOT_JUDGED -> {}
            default -> throw new IllegalArgumentException("unknown outcome: " + outcome);
        }
    }

    private void record(OnlineCall call, int attempt, RouteDecision decision) {
        RouteRecord route =
                new RouteRecord(
                        call.requestId(),
                        attempt,
                        call.customer(),
                        call.target(),
                        clock.wallTime(),
                        decision);
        recentDecisions.add(route);
        if (LOG.isInfoEnabled()) {
            LOG.info("route: {}", route.describe());
        }
    }

    private boolean isUsable(RoutingTarget target) {
        Agent agent = agents.get(target.id());
        return agent != null
                && !agent.leaving()
                && !directory.isLeaving(target.id())
                && directory.connectionTo(target.id()).isPresent();
    }

    private void receiveReport(FleetConnection connection, LoadReport report) {
        String id = connection.peer().instanceId();
        Agent previous = agents.get(id);
        RoutingTarget target = previous == null ? newTarget(connection) : previous.target();
        target.updateLoad(
                new TargetLoad(
                        report.getOnlineRunning(),
                        report.getOnlineWaiting(),
                        report.getCapacity(),
                        report.getExpectedWaitUs() * 1000,
                        clock.nanoTime()));
        updatePrefixes(target, report);
        Agent agent =
                new Agent(target, connection, services(connection, report), report.getLeaving());
        agents.put(id, agent);
        if (previous == null
                || previous.connection() != connection
                || !previous.services().equals(agent.services())) {
            rebuild();
        }
    }

    private RoutingTarget newTarget(FleetConnection connection) {
        String id = connection.peer().instanceId();
        String targetDataCentre = connection.peer().dataCentre();
        Duration penalty = Duration.ZERO;
        if (!targetDataCentre.equals(dataCentre)) {
            boolean sameRegion =
                    directory.instances().stream()
                            .filter(instance -> instance.dataCentre().equals(targetDataCentre))
                            .map(ListedInstance::region)
                            .anyMatch(region::equals);
            penalty = sameRegion ? OTHER_DATA_CENTRE_PENALTY : OTHER_REGION_PENALTY;
        }
        return RoutingTarget.create(id, targetDataCentre, penalty.toNanos());
    }

    private void updatePrefixes(RoutingTarget target, LoadReport report) {
        if (report.getPrefixesReset()) {
            prefixes.removeAll(target.id());
        }
        long now = clock.nanoTime();
        report.getPrefixesRemovedList().stream()
                .limit(MAX_PREFIXES_PER_REPORT)
                .forEach(hash -> prefixes.remove(hash, target.id()));
        report.getPrefixesAddedList().stream()
                .limit(MAX_PREFIXES_PER_REPORT)
                .forEach(hash -> prefixes.add(hash, target.id(), now));
    }

    private static ImmutableSet<ServiceName> services(
            FleetConnection connection, LoadReport report) {
        if (report.getService()) {
            return ImmutableSet.of(new ServiceName(true, connection.peer().targetName()));
        }
        return report.getModelsList().stream()
                .map(model -> new ServiceName(false, model))
                .collect(ImmutableSet.toImmutableSet());
    }

    private synchronized void rebuild() {
        Map<ServiceName, List<RoutingTarget>> targets = new HashMap<>();
        List<String> disconnected = new ArrayList<>();
        agents.forEach(
                (id, agent) -> {
                    if (agent.connection().isOpen()) {
                        agent.services()
                                .forEach(
                                        service ->
                                                targets.computeIfAbsent(
                                                                service, key -> new ArrayList<>())
                                                        .add(agent.target()));
                    } else {
                        disconnected.add(id);
                    }
                });
        if (disconnected.size() > MAX_DISCONNECTED) {
            disconnected.forEach(agents::remove);
        }
        ImmutableMap.Builder<ServiceName, TargetView> rebuilt = ImmutableMap.builder();
        targets.forEach(
                (service, list) -> rebuilt.put(service, TargetView.of(entryId, dataCentre, list)));
        views.set(rebuilt.buildOrThrow());
    }
}
