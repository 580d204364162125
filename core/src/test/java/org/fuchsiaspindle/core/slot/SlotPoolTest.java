package org.fuchsiaspindle.core.slot;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.IntStream;
import org.fuchsiaspindle.core.serving.TargetInstance;
import org.fuchsiaspindle.core.slot.SlotDecision.BatchGranted;
import org.fuchsiaspindle.core.slot.SlotDecision.Granted;
import org.fuchsiaspindle.core.slot.SlotDecision.HoldingsQueried;
import org.fuchsiaspindle.core.slot.SlotDecision.Preempted;
import org.fuchsiaspindle.core.slot.SlotDecision.Queued;
import org.fuchsiaspindle.core.slot.SlotDecision.Refusal;
import org.fuchsiaspindle.core.slot.SlotDecision.Refused;
import org.fuchsiaspindle.core.work.RequestSize;
import org.junit.jupiter.api.Test;

/** Guards against slots that are assigned twice, stay free, or go to the wrong request. */
final class SlotPoolTest {

    private static final int SLOTS = 4;
    private static final long FIRST_BATCH_TICKET = 1_000_000;
    private static final long EXCHANGE = 7;

    private final SlotPool pool = SlotPool.create(FIRST_BATCH_TICKET);
    private long now = Duration.ofSeconds(100).toNanos();
    private long nextTicket = 1;

    @Test
    void online_goesToTheLeastLoadedTarget() {
        targets("a", "b");
        Map<String, Integer> granted = new HashMap<>();
        for (int i = 0; i < 2 * SLOTS; i++) {
            granted.merge(granted(request("g1", false)).target(), 1, Integer::sum);
        }
        assertThat(granted).containsEntry("a", SLOTS).containsEntry("b", SLOTS);
    }

    /** Guards against a target that gets as many requests as it has slots, whatever its limit. */
    @Test
    void limitedTarget_getsNoMoreThanItAccepts() {
        targets("a", "b");
        pool.limitRequests("a", OptionalDouble.of(2), now);
        Map<String, Integer> granted = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            now += Duration.ofMillis(100).toNanos();
            Granted grant = granted(request("g1", false));
            assertThat(grant.targetLimited()).isEqualTo(grant.target().equals("a"));
            granted.merge(grant.target(), 1, Integer::sum);
            pool.release("g1", grant.ticket(), RunReport.unused(LeaseOutcome.DONE), now);
        }
        assertThat(granted.get("a")).isBetween(15, 20);
    }

    /** Guards against requests that are refused although a limited target starts them in time. */
    @Test
    void requestForALimitedTarget_waitsForItsTurn() {
        targets("a");
        pool.limitRequests("a", OptionalDouble.of(2), now);
        assertThat(request("g1", true)).hasOnlyElementsOfType(Queued.class);
        assertThat(pool.checkTimes(now)).isEmpty();
        now += Duration.ofMillis(600).toNanos();
        assertThat(pool.checkTimes(now)).hasOnlyElementsOfType(Granted.class);
    }

    /** Guards against batch items that use up what a target accepts. */
    @Test
    void limitedTarget_startsBatchItemsOnlyWithWhatOnlineRequestsLeave() {
        targets("a");
        pool.limitRequests("a", OptionalDouble.of(2), now);
        demand("late", SLOTS, 2000);
        now += Duration.ofSeconds(5).toNanos();
        assertThat(pool.checkTimes(now)).hasSize(1);
        assertThat(granted(request("g1", false)).target()).isEqualTo("a");
    }

    /** Guards against batch items that get nothing while online requests use part of a limit. */
    @Test
    void limitedTarget_startsBatchItemsBesideOnlineRequests() {
        targets("a");
        pool.limitRequests("a", OptionalDouble.of(4), now);
        demand("late", 1, 2000);
        int started = 0;
        for (int i = 0; i < 20; i++) {
            now += Duration.ofMillis(500).toNanos();
            Granted grant = granted(request("g1", false));
            started +=
                    pool.release("g1", grant.ticket(), RunReport.unused(LeaseOutcome.DONE), now)
                            .size();
        }
        assertThat(started).isEqualTo(1);
    }

    @Test
    void limitThatIsLifted_restrictsNothing() {
        targets("a");
        pool.limitRequests("a", OptionalDouble.of(0), now);
        assertThat(request("g1", false)).hasOnlyElementsOfType(Refused.class);
        pool.limitRequests("a", OptionalDouble.empty(), now);
        for (int i = 0; i < SLOTS; i++) {
            assertThat(granted(request("g1", false)).targetLimited()).isFalse();
        }
    }

    /** Batch items are preempted, so they must not make a target unavailable to online requests. */
    @Test
    void online_takesTheSlotOfTheBatchItemThatIsDueLast() {
        targets("a");
        demand("early", 2, 1000);
        demand("late", 2, 2000);
        List<SlotDecision> decisions = request("g1", false);
        assertThat(decisions)
                .hasSize(2)
                .anySatisfy(
                        decision ->
                                assertThat(decision)
                                        .isInstanceOfSatisfying(
                                                Preempted.class,
                                                preempted ->
                                                        assertThat(preempted.holder())
                                                                .isEqualTo("late")))
                .anySatisfy(decision -> assertThat(decision).isInstanceOf(Granted.class));
        assertThat(pool.occupiedSlots()).isEqualTo(SLOTS);
    }

    /** Guards against preempting one item for two online requests, or two for one. */
    @Test
    void eachOnlineRequest_preemptsExactlyOneItem() {
        targets("a", "b");
        demand("g1", 3 * SLOTS, 1000);
        int preempted = 0;
        for (int i = 0; i < 2 * SLOTS; i++) {
            for (SlotDecision decision : request("g2", false)) {
                preempted += decision instanceof Preempted ? 1 : 0;
            }
            assertThat(preempted).isEqualTo(i + 1);
            assertThat(pool.occupiedSlots()).isEqualTo(2 * SLOTS);
        }
        assertThat(request("g2", false)).singleElement().isInstanceOf(Refused.class);
    }

    @Test
    void freeSlot_goesToTheWaitingRequestAndNotToABatchItem() {
        targets("a");
        List<Long> tickets = fill("g1");
        demand("g2", 5, 1000);
        assertThat(request("g3", true)).singleElement().isInstanceOf(Queued.class);
        List<SlotDecision> decisions = release("g1", tickets.getFirst(), LeaseOutcome.DONE);
        assertThat(decisions).singleElement().isInstanceOf(Granted.class);
        assertThat(decisions.getFirst().holder()).isEqualTo("g3");
        assertThat(release("g1", tickets.get(1), LeaseOutcome.DONE))
                .singleElement()
                .isInstanceOf(BatchGranted.class);
    }

    /**
     * Guards against jobs of one gateway that wait while jobs of others with later due times run.
     */
    @Test
    void freeSlots_goToTheItemsDueFirst() {
        targets("a");
        List<Long> tickets = fill("g1");
        demand("late", 4, 2000);
        demand("early", 1, 1000);
        assertThat(release("g1", tickets.get(0), LeaseOutcome.DONE).getFirst().holder())
                .isEqualTo("early");
        assertThat(release("g1", tickets.get(1), LeaseOutcome.DONE).getFirst().holder())
                .isEqualTo("late");
    }

    /**
     * Guards against batch items that start in a slot which the next online request takes: while
     * requests preempt items, free slots are kept for them, but no longer than 100 ms.
     */
    @Test
    void freeSlotsAfterPreemptions_areKeptForOnlineRequestsFor100Millis() {
        targets("a");
        demand("g1", 10, 1000);
        Granted first = granted(request("g2", false));
        Granted second = granted(request("g2", false));
        assertThat(release("g2", first.ticket(), LeaseOutcome.DONE)).isEmpty();
        assertThat(release("g2", second.ticket(), LeaseOutcome.DONE)).isEmpty();
        assertThat(request("g2", false)).singleElement().isInstanceOf(Granted.class);
        now += Duration.ofMillis(101).toNanos();
        assertThat(pool.checkTimes(now)).singleElement().isInstanceOf(BatchGranted.class);
    }

    /**
     * Load: online demand that goes up and down within a wave. Guards against items that start in a
     * slot which is taken back before their run was worth its start, again and again.
     */
    @Test
    void itemPreemptedSoonAfterItsStart_keepsASlotFreeForLonger() {
        targets("a");
        long item = batchGranted(demand("g1", 1, 1000)).ticket();
        RunReport report =
                new RunReport(
                        LeaseOutcome.DONE,
                        1,
                        Optional.of(Duration.ofMillis(50)),
                        Duration.ofSeconds(1));
        pool.release("g1", item, report, now);
        pool.demand("g1", new BatchDemand(10, 1000, received(1), ImmutableSet.of(), 0), now);
        Granted online = granted(request("g2", false));
        now += Duration.ofMillis(101).toNanos();
        assertThat(release("g2", online.ticket(), LeaseOutcome.DONE)).isEmpty();
        now += Duration.ofMillis(400).toNanos();
        assertThat(pool.checkTimes(now)).hasOnlyElementsOfType(BatchGranted.class).hasSize(1);
    }

    /** Guards against preempting an item that has nearly finished for a small difference in due. */
    @Test
    void ofItemsDueAtAboutTheSameTime_theOneStartedLastIsPreempted() {
        targets("a");
        demand("first", SLOTS - 1, 1900);
        now += Duration.ofMillis(500).toNanos();
        demand("last", 1, 1100);
        assertThat(request("g1", false))
                .filteredOn(Preempted.class::isInstance)
                .singleElement()
                .extracting(SlotDecision::holder)
                .isEqualTo("last");
    }

    /** Guards against more grants than items while a demand and grants cross on the network. */
    @Test
    void grantsOnTheirWay_countAgainstTheDemand() {
        targets("a", "b");
        assertThat(demand("g1", 3, 1000)).hasSize(3);
        assertThat(
                        pool.demand(
                                "g1",
                                new BatchDemand(3, 1000, received(0), ImmutableSet.of(), 0),
                                now))
                .isEmpty();
        assertThat(
                        pool.demand(
                                "g1",
                                new BatchDemand(2, 1000, received(3), ImmutableSet.of(), 0),
                                now))
                .hasSize(2);
    }

    /** Guards against the slots of a lost gateway that stay occupied. */
    @Test
    void slotsOfALostGateway_areFree() {
        targets("a");
        fill("g1");
        request("g2", true);
        assertThat(pool.removeHolder("g1", now)).singleElement().isInstanceOf(Granted.class);
        assertThat(pool.occupiedSlots()).isEqualTo(1);
    }

    /** Guards against a new coordinator that fills slots twice for which it was not asked. */
    @Test
    void reportedHoldings_replaceWhatWasKnownAndPreemptTheExcess() {
        targets("a");
        for (int i = 0; i < SLOTS; i++) {
            request("g1", false);
        }
        List<HeldSlot> held = new ArrayList<>();
        for (long ticket = 50; ticket < 53; ticket++) {
            held.add(new HeldSlot(ticket, "a", TrafficClass.BATCH, 1000, 0));
        }
        assertThat(pool.replaceHoldings("g2", held, received(0), now))
                .hasSize(3)
                .allSatisfy(decision -> assertThat(decision).isInstanceOf(Preempted.class));
        pool.replaceHoldings("g1", List.of(), received(0), now);
        assertThat(pool.occupiedSlots()).isZero();
    }

    /**
     * Guards against a report that crosses a grant on the network, so that the coordinator forgets
     * the slot and fills it again.
     */
    @Test
    void reportThatCrossesAGrant_doesNotRemoveTheSlot() {
        targets("a");
        demand("g1", 1, 1000);
        pool.replaceHoldings("g1", List.of(), received(0), now);
        assertThat(pool.occupiedSlots()).isEqualTo(1);
        pool.replaceHoldings("g1", List.of(), received(1), now);
        assertThat(pool.occupiedSlots()).isZero();
    }

    /**
     * Guards against grants that the holder has returned or never received, and that hold slots.
     */
    @Test
    void grantsOfAnExchangeThatIsOver_areForgottenAndNotCounted() {
        targets("a");
        begin("g1", EXCHANGE);
        assertThat(demandIn(EXCHANGE, 0, SLOTS)).hasSize(SLOTS);
        begin("g1", EXCHANGE + 1);
        assertThat(pool.occupiedSlots()).isZero();
        assertThat(demandIn(EXCHANGE + 1, 0, 2))
                .hasSize(2)
                .allSatisfy(
                        decision ->
                                assertThat(((BatchGranted) decision).exchange())
                                        .isEqualTo(EXCHANGE + 1));
    }

    /** Guards against a lost grant that nobody notices. */
    @Test
    void holderThatDoesNotConfirmItsGrants_isAskedForItsSlots() {
        targets("a");
        begin("g1", EXCHANGE);
        demandIn(EXCHANGE, 0, 2);
        assertThat(pool.checkTimes(now)).isEmpty();
        now += Duration.ofSeconds(3).toNanos();
        HoldingsQueried query = new HoldingsQueried("g1", EXCHANGE, 2, 0, 2, 2);
        assertThat(pool.checkTimes(now)).containsExactly(query);
        assertThat(pool.checkTimes(now)).isEmpty();
        now += Duration.ofSeconds(1).toNanos();
        assertThat(pool.checkTimes(now)).containsExactly(query);
        demandIn(EXCHANGE, 2, 0);
        now += Duration.ofSeconds(1).toNanos();
        assertThat(pool.checkTimes(now)).isEmpty();
    }

    /** Guards against decisions that are lost between two connections that both seem sound. */
    @Test
    void holderThatMayHaveMissedDecisions_isAskedForItsSlots() {
        targets("a");
        assertThat(pool.recordLoss("g1", now)).isEmpty();
        begin("g1", EXCHANGE);
        demandIn(EXCHANGE, 0, 2);
        assertThat(pool.recordLoss("g1", now))
                .containsExactly(new HoldingsQueried("g1", EXCHANGE, 2, 0, 2, 2));
        begin("g1", EXCHANGE + 1);
        assertThat(pool.occupiedSlots()).isZero();
        now += Duration.ofSeconds(5).toNanos();
        assertThat(pool.checkTimes(now)).isEmpty();
    }

    /** Guards against queries that an earlier version does not answer. */
    @Test
    void holderOfAnEarlierVersion_isNotAsked() {
        targets("a");
        demand("g1", 2, 1000);
        assertThat(pool.recordLoss("g1", now)).isEmpty();
        now += Duration.ofSeconds(5).toNanos();
        assertThat(pool.checkTimes(now)).isEmpty();
    }

    /** Guards against a coordinator that forgot a gateway which goes on as before. */
    @Test
    void demandOfAnUnknownExchange_isServedAndTheHolderAsked() {
        targets("a");
        assertThat(demandIn(EXCHANGE, 5, 1))
                .hasSize(2)
                .hasAtLeastOneElementOfType(BatchGranted.class)
                .contains(new HoldingsQueried("g1", EXCHANGE, 6, 5, 1, 1));
    }

    @Test
    void waitingRequest_whoseLatestStartPasses_isRefused() {
        targets("a");
        fill("g1");
        request("g2", true);
        now += Duration.ofSeconds(4).toNanos();
        assertThat(pool.checkTimes(now))
                .singleElement()
                .isInstanceOfSatisfying(
                        Refused.class,
                        refused -> assertThat(refused.reason()).isEqualTo(Refusal.EXPIRED));
    }

    /** Guards against requests that wait although it is known that they cannot start in time. */
    @Test
    void requestThatCannotStartInTime_isRefusedAtOnce() {
        targets("a");
        fill("g1");
        List<SlotDecision> last = List.of();
        for (int i = 0; i < 100 && !(last.stream().anyMatch(Refused.class::isInstance)); i++) {
            last = request("g2", true);
        }
        assertThat(last)
                .singleElement()
                .isInstanceOfSatisfying(
                        Refused.class,
                        refused -> {
                            assertThat(refused.reason()).isEqualTo(Refusal.OVERLOADED);
                            assertThat(refused.expectedWait()).isGreaterThan(Duration.ofSeconds(2));
                        });
    }

    /**
     * Guards against requests of a workspace under its share that are refused, or wait in vain, for
     * one that has filled the queue.
     */
    @Test
    void requestOfAnotherWorkspace_displacesOneOfTheWorkspaceThatFillsTheQueue() {
        targets("a");
        fill("g1");
        List<SlotDecision> last = List.of();
        while (last.stream().noneMatch(Refused.class::isInstance)) {
            last = requestOf("large");
        }
        List<SlotDecision> decisions = requestOf("small");
        assertThat(decisions.getFirst()).isInstanceOf(Queued.class);
        assertThat(decisions.subList(1, decisions.size()))
                .isNotEmpty()
                .allSatisfy(
                        decision ->
                                assertThat(decision)
                                        .isInstanceOfSatisfying(
                                                Refused.class,
                                                refused -> {
                                                    assertThat(refused.holder()).isEqualTo("large");
                                                    assertThat(refused.reason())
                                                            .isEqualTo(Refusal.DISPLACED);
                                                }));
    }

    /** Guards against refusing all that waits while targets are replaced. */
    @Test
    void whileNoTargetIsKnown_waitingRequestsAreNotRefused() {
        targets("a");
        fill("g1");
        requestOf("small");
        requestOf("large");
        now += Duration.ofMillis(500).toNanos();
        pool.setTargets(List.of(), now);
        assertThat(pool.checkTimes(now)).isEmpty();
        assertThat(pool.waitingRequests()).isEqualTo(2);
    }

    /** Guards against requests that wait for a target that no request may use. */
    @Test
    void requestWithoutAnAcceptableTarget_isRefusedUnlessItIsTheLastResort() {
        targets("a");
        SlotRequest avoiding = newRequest("g1", true, Set.of("a"), false);
        assertThat(pool.request(avoiding, now))
                .singleElement()
                .isInstanceOfSatisfying(
                        Refused.class,
                        refused -> assertThat(refused.reason()).isEqualTo(Refusal.NO_TARGET));
        assertThat(pool.request(newRequest("g1", false, Set.of("a"), true), now))
                .singleElement()
                .isInstanceOf(Granted.class);
    }

    /** Guards against requests lost at a target that fails a part of them for all gateways. */
    @Test
    void targetThatFailsForSeveralGateways_isAvoidedAndTriedAgainLater() {
        targets("good", "bad");
        fail("bad", "g1", "g2");
        for (int i = 0; i < SLOTS; i++) {
            assertThat(granted(request("g1", false)).target()).isEqualTo("good");
        }
        now += Duration.ofSeconds(10).toNanos();
        assertThat(granted(request("g1", false)).target()).isEqualTo("bad");
    }

    /** Guards against a cut link of one gateway that takes a target from all others. */
    @Test
    void targetThatFailsForOneGateway_staysInUse() {
        targets("good", "cut");
        fail("cut", "g1", "g1", "g1", "g1");
        Set<String> used = new java.util.HashSet<>();
        for (int i = 0; i < SLOTS; i++) {
            used.add(granted(request("g2", false)).target());
        }
        assertThat(used).contains("cut");
    }

    @Test
    void targetReportedSilentByTwoGateways_receivesNothing() {
        targets("good", "silent");
        hold("silent", "g1", "g2");
        pool.recordSilence("g1", "silent", now);
        pool.recordSilence("g2", "silent", now);
        for (int i = 0; i < SLOTS; i++) {
            assertThat(granted(request("g3", false)).target()).isEqualTo("good");
        }
        assertThat(demand("g3", 2, 1000)).isEmpty();
    }

    /** Guards against a silent target that is never tried again, or by all items at once. */
    @Test
    void silentTarget_getsOneTrialAtATimeUntilItSendsData() {
        targets("silent");
        hold("silent", "g1", "g2");
        pool.recordSilence("g1", "silent", now);
        pool.recordSilence("g2", "silent", now);
        now += Duration.ofSeconds(1).toNanos();
        assertThat(demand("g3", SLOTS, 1000)).isEmpty();
        now += Duration.ofSeconds(1).toNanos();
        BatchGranted trial = batchGranted(pool.checkTimes(now));
        assertThat(pool.checkTimes(now)).isEmpty();
        pool.recordSilence("g3", "silent", now);
        assertThat(release("g3", trial.ticket(), LeaseOutcome.CANCELLED)).isEmpty();
        now += Duration.ofSeconds(2).toNanos();
        assertThat(batchGranted(pool.checkTimes(now)).target()).isEqualTo("silent");
        assertThat(pool.recordData("silent", now)).hasOnlyElementsOfType(BatchGranted.class);
        assertThat(pool.occupiedSlots()).isEqualTo(SLOTS);
    }

    /** Guards against a gateway without requests at a target that takes it from the others. */
    @Test
    void silenceReportedWithoutASlot_takesNoTarget() {
        targets("sound");
        pool.recordSilence("g1", "sound", now);
        assertThat(granted(request("g2", false)).target()).isEqualTo("sound");
        pool.recordSilence("g1", "sound", now);
        assertThat(granted(request("g3", false)).target()).isEqualTo("sound");
    }

    @Test
    void leavingTarget_receivesNothing() {
        pool.setTargets(List.of(target("a", true)), now);
        assertThat(request("g1", false)).singleElement().isInstanceOf(Refused.class);
        assertThat(demand("g1", 2, 1000)).isEmpty();
    }

    /**
     * Replays a burst: requests of many gateways arrive faster than slots become free while batch
     * items wait. No slot is used twice, none is idle, and no request is started after a later one.
     */
    @Test
    void burstOverManyGateways_usesEverySlotOnceAndStartsInOrder() {
        targets("a", "b", "c", "d", "e");
        int slots = 5 * SLOTS;
        demand("batch", 200, 1000);
        List<Granted> running = new ArrayList<>();
        List<Long> started = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            collect(request("g" + i % 7, true), running, started);
            assertThat(pool.occupiedSlots()).isEqualTo(slots);
        }
        assertThat(running).hasSize(slots);
        assertThat(pool.waitingRequests()).isEqualTo(40 - slots);
        while (!running.isEmpty()) {
            Granted first = running.removeFirst();
            now += Duration.ofMillis(40).toNanos();
            collect(release(first.holder(), first.ticket(), LeaseOutcome.DONE), running, started);
            assertThat(pool.occupiedSlots()).isEqualTo(slots);
        }
        assertThat(started).hasSize(40).isSorted();
    }

    private static void collect(
            List<SlotDecision> decisions, List<Granted> running, List<Long> started) {
        for (SlotDecision decision : decisions) {
            if (decision instanceof Granted granted) {
                running.add(granted);
                started.add(granted.ticket());
            }
        }
    }

    /** Makes gateways hold one slot of a target each. */
    private void hold(String target, String... holders) {
        for (String holder : holders) {
            HeldSlot slot = new HeldSlot(nextTicket++, target, TrafficClass.ONLINE, 0, 0);
            pool.replaceHoldings(holder, List.of(slot), received(0), now);
        }
    }

    private void fail(String target, String... holders) {
        for (String holder : holders) {
            List<Granted> grants = new ArrayList<>();
            Granted granted;
            do {
                granted = granted(request(holder, false));
                grants.add(granted);
            } while (!granted.target().equals(target));
            for (Granted grant : grants) {
                boolean failed = grant.target().equals(target);
                release(
                        holder,
                        grant.ticket(),
                        failed ? LeaseOutcome.FAILED : LeaseOutcome.CANCELLED);
            }
        }
    }

    private List<Long> fill(String holder) {
        return IntStream.range(0, SLOTS)
                .mapToObj(i -> granted(request(holder, false)).ticket())
                .toList();
    }

    private void targets(String... ids) {
        List<TargetInstance> targets = new ArrayList<>();
        for (String id : ids) {
            targets.add(target(id, false));
        }
        pool.setTargets(targets, now);
    }

    private static TargetInstance target(String id, boolean leaving) {
        return new TargetInstance(
                id, "model", HostAndPort.fromParts("10.0.0.1", 80), "zone-a", SLOTS, leaving, 0);
    }

    private List<SlotDecision> demand(String holder, int waiting, long due) {
        return pool.demand(
                holder, new BatchDemand(waiting, due, received(0), ImmutableSet.of(), 0), now);
    }

    private void begin(String holder, long exchange) {
        pool.replaceHoldings(holder, List.of(), new ReceivedGrants(exchange, 0), now);
    }

    private List<SlotDecision> demandIn(long exchange, long received, int waiting) {
        ReceivedGrants grants = new ReceivedGrants(exchange, received);
        return pool.demand("g1", new BatchDemand(waiting, 1000, grants, ImmutableSet.of(), 0), now);
    }

    private static ReceivedGrants received(long count) {
        return new ReceivedGrants(ReceivedGrants.NO_EXCHANGE, count);
    }

    private List<SlotDecision> release(String holder, long ticket, LeaseOutcome outcome) {
        return pool.release(holder, ticket, RunReport.unused(outcome), now);
    }

    private List<SlotDecision> request(String holder, boolean mayWait) {
        return pool.request(newRequest(holder, mayWait, Set.of(), false), now);
    }

    /** Requests a slot for a workspace whose requests come through a gateway of the same name. */
    private List<SlotDecision> requestOf(String workspace) {
        SlotRequest request = newRequest(workspace, true, Set.of(), false);
        return pool.request(
                new SlotRequest(
                        workspace,
                        request.ticket(),
                        true,
                        request.priority(),
                        workspace,
                        request.size(),
                        request.onTimeUntilNanos(),
                        request.startUntilNanos(),
                        request.avoided(),
                        request.lastResort()),
                now);
    }

    private SlotRequest newRequest(
            String holder, boolean mayWait, Set<String> avoided, boolean lastResort) {
        now++;
        return new SlotRequest(
                holder,
                nextTicket++,
                mayWait,
                0,
                "",
                RequestSize.UNKNOWN,
                now + Duration.ofMillis(300).toNanos(),
                now + Duration.ofSeconds(3).toNanos(),
                ImmutableSet.copyOf(avoided),
                lastResort);
    }

    private static BatchGranted batchGranted(List<SlotDecision> decisions) {
        return decisions.stream()
                .filter(BatchGranted.class::isInstance)
                .map(BatchGranted.class::cast)
                .findFirst()
                .orElseThrow(() -> new AssertionError("not granted: " + decisions));
    }

    private static Granted granted(List<SlotDecision> decisions) {
        return decisions.stream()
                .filter(Granted.class::isInstance)
                .map(Granted.class::cast)
                .findFirst()
                .orElseThrow(() -> new AssertionError("not granted: " + decisions));
    }
}
