package org.fuchsiaspindle.core.slot;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fuchsiaspindle.core.serving.TargetInstance;
import org.fuchsiaspindle.core.serving.TargetModel;
import org.fuchsiaspindle.core.slot.SlotDecision.BatchGranted;
import org.fuchsiaspindle.core.slot.SlotDecision.Granted;
import org.fuchsiaspindle.core.slot.SlotDecision.Preempted;
import org.fuchsiaspindle.core.slot.SlotDecision.Refused;
import org.fuchsiaspindle.core.work.RequestSize;
import org.junit.jupiter.api.Test;

/** Guards against a choice that ignores what targets were seen to do, or that never forgets it. */
final class TargetChoiceTest {

    private static final long FIRST_BATCH_TICKET = 1_000_000;
    private static final int SLOTS = 8;
    private static final int EVENTS = 30;
    private static final int ITEM_TOKENS = 1000;
    private static final Duration EVENT_TIME = Duration.ofMillis(20);
    private static final RequestSize SIZE =
            new RequestSize("route", 2000, 100, 0, ImmutableList.of());

    private final SlotPool pool = SlotPool.create(FIRST_BATCH_TICKET);
    private long now = Duration.ofSeconds(100).toNanos();
    private long nextTicket = 1;
    private int batchGrants;
    private final List<Long> stopped = new ArrayList<>();
    private final Set<String> readPrompts = new HashSet<>();

    /** Guards against slow targets that get as many requests as the others. */
    @Test
    void slowTarget_getsRequestsOnlyWhenTheOthersAreLoaded() {
        targets("slow", "b", "c");
        learn(10);
        Map<String, Integer> granted = grantMany(2 * SLOTS, SIZE);
        assertThat(granted.getOrDefault("slow", 0)).isLessThan(granted.get("b") / 2);
        assertThat(grantMany(SLOTS, SIZE).get("slow")).isPositive();
    }

    /** Guards against a target that gets no requests for ever because it once was slow. */
    @Test
    void slowTarget_isTriedAgainAfterSeconds() {
        targets("slow", "b", "c");
        learn(10);
        now += Duration.ofSeconds(30).toNanos();
        assertThat(grantMany(3, SIZE)).containsOnlyKeys("slow", "b", "c");
    }

    /** Plain services carry no sizes; their requests must be spread as they always were. */
    @Test
    void unknownSizes_goToTheLeastLoadedTarget() {
        targets("slow", "b", "c");
        learn(10);
        assertThat(grantMany(6, RequestSize.UNKNOWN))
                .containsEntry("slow", 2)
                .containsEntry("b", 2)
                .containsEntry("c", 2);
    }

    /** Guards against long batch items that are held up by slow targets while others have room. */
    @Test
    void batchItems_goToSlowTargetsLast() {
        targets("slow", "b", "c");
        learn(10);
        assertThat(batchTargets(2 * SLOTS)).containsOnlyKeys("b", "c");
        assertThat(batchTargets(SLOTS)).containsOnlyKeys("slow");
    }

    /** Guards against items that are stopped shortly before their end for one due much the same. */
    @Test
    void ofItemsDueAtAboutTheSameTime_theOneThatStartedLastIsStopped() {
        targets("a");
        demand(SLOTS - 1, 20_500, 0);
        now += Duration.ofSeconds(3).toNanos();
        demand(1, 20_100, SLOTS - 1);
        Granted granted = grant(SIZE);
        assertThat(granted.target()).isEqualTo("a");
        assertThat(stopped).containsExactly(FIRST_BATCH_TICKET + SLOTS - 1);
    }

    /** Guards against a target that crashes because its memory was promised twice. */
    @Test
    void memory_isNeverPromisedTwice() {
        pool.setModel(Optional.of(new TargetModel(2 * SIZE.maxTokens() + 10, 1)));
        targets("a");
        assertThat(batchTargets(1)).containsOnlyKeys("a");
        Granted first = grant(SIZE);
        assertThat(stopped).isEmpty();
        pool.release("g", FIRST_BATCH_TICKET, RunReport.unused(LeaseOutcome.DONE), now);
        grant(SIZE);
        assertThat(request(SIZE)).singleElement().isInstanceOf(Refused.class);
        assertThat(request(RequestSize.UNKNOWN)).singleElement().isInstanceOf(Granted.class);
        pool.release("g", first.ticket(), RunReport.unused(LeaseOutcome.DONE), now);
        assertThat(request(SIZE)).singleElement().isInstanceOf(Granted.class);
    }

    /** Guards against batch items that keep an online request from memory or that overfill it. */
    @Test
    void memoryOfBatchItems_isLeftToOnlineRequests() {
        pool.setModel(Optional.of(new TargetModel(3 * ITEM_TOKENS, 1)));
        targets("a");
        assertThat(demand(SLOTS, 20_000, 0)).hasSize(3);
        assertThat(grant(SIZE).target()).isEqualTo("a");
        assertThat(stopped).hasSize(3);
    }

    /** Guards against a new coordinator that promises the memory of requests it did not grant. */
    @Test
    void memoryOfReportedSlots_isNotPromisedAgain() {
        pool.setModel(Optional.of(new TargetModel(SIZE.maxTokens() + 100, 1)));
        targets("a");
        HeldSlot held = new HeldSlot(1, "a", TrafficClass.ONLINE, 0, SIZE.maxTokens());
        pool.replaceHoldings("other", List.of(held), ReceivedGrants.NONE, now);
        assertThat(request(SIZE)).singleElement().isInstanceOf(Refused.class);
    }

    /** Guards against a coordinator that fails because a client claims more tokens than an int. */
    @Test
    void hugeSizes_areRefusedOrRun() {
        RequestSize.Part part = new RequestSize.Part("p", Integer.MAX_VALUE);
        RequestSize huge =
                new RequestSize(
                        "route",
                        Integer.MAX_VALUE,
                        Integer.MAX_VALUE,
                        Integer.MAX_VALUE,
                        ImmutableList.of(part, part));
        targets("a", "b");
        learn(2);
        assertThat(run(huge)).isIn("a", "b");
        assertThat(run(huge)).isIn("a", "b");
        pool.setModel(Optional.of(new TargetModel(1000, 7)));
        assertThat(request(huge)).singleElement().isInstanceOf(Refused.class);
    }

    /** Guards against prompts that every target reads anew, and against memories of lost ones. */
    @Test
    void sharedPrompt_goesWhereItWasRead_untilTheTargetFails() {
        targets("a", "b", "c");
        for (int i = 0; i < 60; i++) {
            run(size("other-" + i / 2));
        }
        String reader = run(size("shared-b"));
        for (int i = 0; i < 5; i++) {
            assertThat(run(size("shared-b"))).isEqualTo(reader);
        }
        Granted granted = grant(size("shared-b"));
        assertThat(granted.target()).isEqualTo(reader);
        pool.release("g", granted.ticket(), RunReport.unused(LeaseOutcome.FAILED), now);
        assertThat(run(size("shared-b"))).isNotEqualTo(reader);
    }

    private void targets(String... ids) {
        pool.setTargets(
                Arrays.stream(ids)
                        .map(
                                id ->
                                        new TargetInstance(
                                                id,
                                                "model",
                                                HostAndPort.fromParts("10.0.0.1", 80),
                                                "zone-a",
                                                SLOTS,
                                                false,
                                                0))
                        .toList(),
                now);
    }

    /** Fills half of each target with requests that take three times as long on the slow one. */
    private void learn(int rounds) {
        for (int round = 0; round < rounds; round++) {
            List<Granted> fast = new ArrayList<>();
            List<Granted> slow = new ArrayList<>();
            for (int i = 0; i < 3 * SLOTS / 2; i++) {
                Granted granted = grant(RequestSize.UNKNOWN);
                (granted.target().equals("slow") ? slow : fast).add(granted);
            }
            now += Duration.ofSeconds(1).toNanos();
            fast.forEach(granted -> release(granted, EVENT_TIME, EVENT_TIME));
            Duration slowTime = EVENT_TIME.multipliedBy(3);
            slow.forEach(granted -> release(granted, slowTime, slowTime));
        }
    }

    /** Runs a request alone, and returns its target; it takes longer if that reads the prompt. */
    private String run(RequestSize size) {
        Granted granted = grant(size);
        boolean keepsPrompt = !readPrompts.add(granted.target() + size.sharedParts());
        Duration first = Duration.ofMillis(keepsPrompt ? 20 : 120);
        now += first.toNanos();
        release(granted, first, EVENT_TIME);
        return granted.target();
    }

    private void release(Granted granted, Duration first, Duration eventTime) {
        Duration held = first.plus(eventTime.multipliedBy(EVENTS - 1));
        pool.release(
                "g",
                granted.ticket(),
                new RunReport(LeaseOutcome.DONE, EVENTS, Optional.of(first), held),
                now);
    }

    private Map<String, Integer> batchTargets(int items) {
        Map<String, Integer> started = new HashMap<>();
        for (SlotDecision decision : demand(items, 20_000, batchGrants)) {
            started.merge(((BatchGranted) decision).target(), 1, Integer::sum);
        }
        batchGrants += items;
        return started;
    }

    private List<SlotDecision> demand(int items, long dueMillis, long grantsReceived) {
        return pool.demand(
                "g",
                new BatchDemand(
                        items,
                        dueMillis,
                        new ReceivedGrants(ReceivedGrants.NO_EXCHANGE, grantsReceived),
                        ImmutableSet.of(),
                        ITEM_TOKENS),
                now);
    }

    private Map<String, Integer> grantMany(int count, RequestSize size) {
        Map<String, Integer> granted = new HashMap<>();
        for (int i = 0; i < count; i++) {
            granted.merge(grant(size).target(), 1, Integer::sum);
        }
        return granted;
    }

    private Granted grant(RequestSize size) {
        now++;
        List<SlotDecision> decisions = request(size);
        for (SlotDecision decision : decisions) {
            if (decision instanceof Preempted preempted) {
                stopped.add(preempted.ticket());
            }
        }
        return (Granted) decisions.getLast();
    }

    private List<SlotDecision> request(RequestSize size) {
        return pool.request(
                new SlotRequest(
                        "g", nextTicket++, false, 0, "", size, now, now, ImmutableSet.of(), false),
                now);
    }

    private static RequestSize size(String sharedPart) {
        return new RequestSize(
                "route",
                2000,
                100,
                0,
                ImmutableList.of(
                        new RequestSize.Part("root", 10), new RequestSize.Part(sharedPart, 1900)));
    }
}
