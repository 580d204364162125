package org.fuchsiaspindle.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against lost cache affinity, against many entries that all choose the same idle target,
 * and against the ejection of too many targets.
 */
final class RouterTest {

    private static final long NOW = 1_000_000_000;
    private static final String PROMPT = "You are a helpful assistant. ".repeat(100);
    private static final int PROMPT_TOKENS = PROMPT.length() / 4;
    private static final PromptPrefixes PREFIXES = PromptPrefixes.of(PROMPT);

    private final PrefixMap prefixMap = PrefixMap.create(1024);

    @Test
    void view_ofALargeFleet_isBoundedAndPrefersTheOwnDataCentre() {
        List<RoutingTarget> fleet = new ArrayList<>();
        for (int i = 0; i < 1700; i++) {
            fleet.add(RoutingTarget.create("agent-" + i, "dc-" + i % 70, 0));
        }
        List<RoutingTarget> view = TargetView.of("entry-1", "dc-3", fleet).targets();
        assertThat(view).hasSize(TargetView.MAX_TARGETS);
        assertThat(view.stream().filter(target -> target.dataCentre().equals("dc-3"))).hasSize(25);
        assertThat(TargetView.of("entry-2", "dc-3", fleet).targets()).isNotEqualTo(view);
    }

    @Test
    void samePrefix_isRoutedToTheSameTargetsByAllEntries() {
        Set<String> chosen = new HashSet<>();
        for (int entry = 0; entry < 50; entry++) {
            List<RoutingTarget> targets = targets(20);
            targets.forEach(target -> target.updateLoad(load(4, 0, 0)));
            Router router = Router.create(PrefixMap.create(64), new SplittableRandom(entry));
            RouteDecision decision = route(router, targets);
            decision.candidates().stream()
                    .filter(candidate -> candidate.reason() == RouteReason.AFFINITY)
                    .forEach(candidate -> chosen.add(candidate.target().id()));
            assertThat(decision.reason()).isEqualTo(RouteReason.AFFINITY);
        }
        assertThat(chosen).hasSize(2);
    }

    @Test
    void knownPrefix_isPreferredUntilItsTargetIsMuchSlower() {
        List<RoutingTarget> targets = targets(20);
        targets.forEach(target -> target.updateLoad(load(4, 0, 0)));
        prefixMap.add(PREFIXES.hash(PREFIXES.size() - 1), "agent-7", NOW);
        Router router = Router.create(prefixMap, new SplittableRandom(1));
        RouteDecision cached = route(router, targets);
        assertThat(cached.reason()).isEqualTo(RouteReason.PREFIX);
        assertThat(cached.chosen().orElseThrow().target().id()).isEqualTo("agent-7");
        targets.get(7).updateLoad(load(8, 20, Duration.ofSeconds(2).toNanos()));
        assertThat(route(router, targets).reason()).isNotEqualTo(RouteReason.PREFIX);
    }

    @Test
    void prefixThatIsNoLongerCached_isNoLongerPreferred() {
        List<RoutingTarget> targets = targets(2);
        RoutingTarget holder = targets.get(0);
        holder.updateLoad(load(5, 0, 0));
        targets.get(1).updateLoad(load(4, 0, 0));
        prefixMap.add(PREFIXES.hash(1), holder.id(), NOW);
        Router router = Router.create(prefixMap, new SplittableRandom(1));
        assertThat(route(router, targets).chosen().orElseThrow().target()).isEqualTo(holder);
        for (int i = 0; i < 30; i++) {
            holder.recordCacheHit(256, 0);
        }
        assertThat(route(router, targets).chosen().orElseThrow().target()).isNotEqualTo(holder);
    }

    @Test
    void manyEntriesWithTheSameStaleReports_doNotAllChooseTheIdleTarget() {
        int entries = 400;
        Map<String, Integer> counts = new HashMap<>();
        for (int entry = 0; entry < entries; entry++) {
            List<RoutingTarget> targets = targets(48);
            targets.forEach(target -> target.updateLoad(load(8, 2, 100_000_000)));
            targets.get(11).updateLoad(load(0, 0, 0));
            Router router = Router.create(PrefixMap.create(64), new SplittableRandom(entry));
            RouteDecision decision =
                    router.route(
                            TargetView.of("e", "dc-1", targets),
                            PromptPrefixes.NONE,
                            0,
                            target -> true,
                            NOW);
            counts.merge(decision.chosen().orElseThrow().target().id(), 1, Integer::sum);
        }
        assertThat(counts.get("agent-11")).isLessThan(entries / 5);
        assertThat(counts.size()).isGreaterThan(30);
    }

    @Test
    void requestsSentSinceTheReport_spreadABurstOverTheTargets() {
        List<RoutingTarget> targets = targets(4);
        targets.forEach(target -> target.updateLoad(load(4, 0, 0)));
        targets.get(2).updateLoad(load(0, 0, 0));
        Router router = Router.create(prefixMap, new SplittableRandom(3));
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            RoutingTarget chosen =
                    router.route(
                                    TargetView.of("e", "dc-1", targets),
                                    PromptPrefixes.NONE,
                                    0,
                                    target -> true,
                                    NOW)
                            .chosen()
                            .orElseThrow()
                            .target();
            chosen.recordSent();
            counts.merge(chosen.id(), 1, Integer::sum);
        }
        assertThat(counts).hasSize(4);
        assertThat(counts.get("agent-2")).isLessThan(20);
    }

    @Test
    void failingTargets_areEjectedButAtMostHalfOfThem() {
        List<RoutingTarget> targets = targets(10);
        for (RoutingTarget target : targets) {
            for (int i = 0; i < 3; i++) {
                target.recordFailure(NOW);
            }
        }
        Set<String> chosen = chosenIds(targets, NOW + 1, 500);
        assertThat(chosen).hasSize(5);
        targets.get(0).recordSuccess(NOW + 2);
        assertThat(targets.get(0).health().isEjected(NOW + 2)).isTrue();
    }

    @Test
    void ejectedTarget_recoversGradually() {
        List<RoutingTarget> targets = targets(4);
        RoutingTarget ejected = targets.get(1);
        for (int i = 0; i < 3; i++) {
            ejected.recordFailure(NOW);
        }
        assertThat(chosenIds(targets, NOW + seconds(1), 200)).doesNotContain(ejected.id());
        long early = candidateCount(targets, ejected, NOW + seconds(3));
        long late = candidateCount(targets, ejected, NOW + seconds(11));
        long full = candidateCount(targets, ejected, NOW + seconds(13));
        assertThat(early).isLessThan(late / 2);
        assertThat(late).isLessThanOrEqualTo(full);
        ejected.recordFailure(NOW + seconds(4));
        assertThat(ejected.health().isEjected(NOW + seconds(7))).isTrue();
    }

    @Test
    void sameSeed_givesTheSameDecisions() {
        assertThat(decisions(42)).isEqualTo(decisions(42)).isNotEqualTo(decisions(43));
    }

    @Test
    void decision_usesOnlyUsableTargets() {
        List<RoutingTarget> targets = targets(3);
        Router router = Router.create(prefixMap, new SplittableRandom(1));
        RouteDecision decision =
                router.route(
                        TargetView.of("e", "dc-1", targets),
                        PREFIXES,
                        PROMPT_TOKENS,
                        target -> target == targets.get(1),
                        NOW);
        assertThat(decision.chosen().orElseThrow().target()).isEqualTo(targets.get(1));
        assertThat(decision.reason()).isEqualTo(RouteReason.LAST_RESORT);
        assertThat(
                        router.route(TargetView.EMPTY, PREFIXES, PROMPT_TOKENS, target -> true, NOW)
                                .chosen())
                .isEmpty();
    }

    @Test
    void remoteTarget_isUsedOnlyIfTheWaitIsWorthIt() {
        RoutingTarget local = RoutingTarget.create("local", "dc-1", 0);
        RoutingTarget remote =
                RoutingTarget.create("remote", "dc-2", Duration.ofMillis(2).toNanos());
        List<RoutingTarget> targets = List.of(local, remote);
        local.updateLoad(load(1, 0, 0));
        remote.updateLoad(load(0, 0, 0));
        Router router = Router.create(prefixMap, new SplittableRandom(1));
        assertThat(route(router, targets).chosen().orElseThrow().target()).isEqualTo(local);
        local.updateLoad(load(8, 3, Duration.ofMillis(50).toNanos()));
        assertThat(route(router, targets).chosen().orElseThrow().target()).isEqualTo(remote);
    }

    @Test
    void recentDecisions_keepOnlyTheNewest() {
        RecentRouteDecisions recent = RecentRouteDecisions.create(4);
        for (int i = 0; i < 6; i++) {
            recent.add(
                    new RouteRecord(
                            "request-" + i,
                            1,
                            "customer-1",
                            "small",
                            Instant.EPOCH,
                            RouteDecision.NO_TARGET));
        }
        assertThat(recent.forRequest("request-1")).isEmpty();
        assertThat(recent.forRequest("request-5")).hasSize(1);
        assertThat(recent.forRequest("request-5").getFirst().describe())
                .contains("customer=customer-1", "target=none", "candidates=[]");
    }

    @Test
    void prefixMap_dropsRemovedAndExpiredPrefixes() {
        prefixMap.add(5, "agent-1", NOW);
        prefixMap.add(5, "agent-2", NOW);
        assertThat(prefixMap.holders(5, NOW)).containsExactly("agent-2", "agent-1");
        prefixMap.remove(5, "agent-2");
        assertThat(prefixMap.holders(5, NOW)).containsExactly("agent-1");
        assertThat(prefixMap.holders(5, NOW + seconds(301))).isEmpty();
        prefixMap.removeAll("agent-1");
        assertThat(prefixMap.holders(5, NOW)).isEmpty();
    }

    private List<String> decisions(long seed) {
        List<RoutingTarget> targets = targets(30);
        targets.forEach(target -> target.updateLoad(load(4, 0, 0)));
        Router router = Router.create(PrefixMap.create(64), new SplittableRandom(seed));
        List<String> decisions = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            RouteDecision decision = route(router, targets);
            decision.chosen().orElseThrow().target().recordSent();
            decisions.add(decision.candidates().toString());
        }
        return decisions;
    }

    private Set<String> chosenIds(List<RoutingTarget> targets, long now, int times) {
        Set<String> ids = new HashSet<>();
        Router router = Router.create(prefixMap, new SplittableRandom(5));
        for (int i = 0; i < times; i++) {
            ids.add(chosen(router, targets, now).id());
        }
        return ids;
    }

    private long candidateCount(List<RoutingTarget> targets, RoutingTarget expected, long now) {
        long count = 0;
        Router router = Router.create(prefixMap, new SplittableRandom(5));
        for (int i = 0; i < 1000; i++) {
            RouteDecision decision =
                    router.route(
                            TargetView.of("e", "dc-1", targets),
                            PromptPrefixes.NONE,
                            0,
                            target -> true,
                            now);
            count +=
                    decision.candidates().stream()
                            .filter(candidate -> candidate.target() == expected)
                            .count();
        }
        return count;
    }

    private static RoutingTarget chosen(Router router, List<RoutingTarget> targets, long now) {
        RoutingTarget chosen =
                router.route(
                                TargetView.of("e", "dc-1", targets),
                                PromptPrefixes.NONE,
                                0,
                                target -> true,
                                now)
                        .chosen()
                        .orElseThrow()
                        .target();
        targets.forEach(target -> target.updateLoad(load(target == chosen ? 1 : 0, 0, 0)));
        return chosen;
    }

    private static RouteDecision route(Router router, List<RoutingTarget> targets) {
        return router.route(
                TargetView.of("entry-1", "dc-1", targets),
                PREFIXES,
                PROMPT_TOKENS,
                target -> true,
                NOW);
    }

    private static List<RoutingTarget> targets(int count) {
        List<RoutingTarget> targets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            targets.add(RoutingTarget.create("agent-" + i, "dc-1", 0));
        }
        return targets;
    }

    private static TargetLoad load(int running, int waiting, long waitNanos) {
        return new TargetLoad(running, waiting, 8, waitNanos, NOW);
    }

    private static long seconds(int count) {
        return Duration.ofSeconds(count).toNanos();
    }
}
