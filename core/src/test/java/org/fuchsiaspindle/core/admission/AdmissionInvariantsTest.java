package org.fuchsiaspindle.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.fuchsiaspindle.core.config.FleetSettings;
import org.fuchsiaspindle.core.config.FleetSettings.Profile;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks the scheduler's invariants under random sequences of events; a failure message contains
 * the seed.
 */
final class AdmissionInvariantsTest {

    private static final int STEPS = 20_000;
    private static final int MAX_LIMIT = 12;

    private final Set<Long> onlineWaiting = new HashSet<>();
    private final Set<Long> batchWaiting = new HashSet<>();
    private final Set<Long> onlineRunning = new HashSet<>();
    private final Set<Long> batchRunning = new HashSet<>();
    private final Map<Long, Long> tokens = new HashMap<>();
    private AdmissionScheduler scheduler;
    private long now;
    private long nextId;
    private long ended;
    private long refused;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void randomEvents_keepTheInvariants(long seed) {
        Random random = new Random(seed);
        Profile profile = random.nextBoolean() ? Profile.TAIL : Profile.BATCH;
        scheduler = AdmissionScheduler.create(policy(profile), now);
        boolean open = true;
        for (int step = 0; step < STEPS; step++) {
            now += random.nextInt(5_000_000);
            switch (random.nextInt(12)) {
                case 0, 1 -> online(random);
                case 2, 3, 4 -> batch(random);
                case 5, 6, 7 -> observe(random);
                case 8, 9 -> end(random);
                case 10 -> scheduler.tick(now);
                default -> {
                    if (random.nextInt(50) == 0) {
                        open = !open;
                        scheduler.setOpen(open, now);
                    }
                }
            }
            applyDecisions();
            checkInvariants(open, "seed " + seed + " step " + step);
        }
        scheduler.setOpen(true, now);
        finishAll();
        assertThat(ended + refused).as("seed %s", seed).isEqualTo(nextId);
    }

    private void online(Random random) {
        onlineWaiting.add(++nextId);
        long deadline =
                random.nextInt(3) == 0
                        ? now + random.nextInt(200_000_000)
                        : OnlineRequest.NO_DEADLINE;
        scheduler.onlineArrived(
                new OnlineRequest(
                        nextId,
                        "c" + random.nextInt(4),
                        random.nextInt(3),
                        1 + random.nextInt(3),
                        deadline,
                        1 + random.nextInt(500)),
                now);
    }

    private void batch(Random random) {
        long id = ++nextId;
        batchWaiting.add(id);
        tokens.put(id, 0L);
        BatchRequest item =
                new BatchRequest(
                        id,
                        "c" + random.nextInt(4),
                        1 + random.nextInt(3),
                        now + Duration.ofSeconds(random.nextInt(300)).toNanos(),
                        1 + random.nextInt(500),
                        0,
                        random.nextInt(20) == 0);
        if (!scheduler.batchArrived(item, now)) {
            batchWaiting.remove(id);
            refused++;
        }
    }

    private void observe(Random random) {
        for (long id : List.copyOf(batchRunning)) {
            if (random.nextInt(3) == 0) {
                tokens.merge(id, 1L, Long::sum);
                scheduler.tokensObserved(id, 1, now);
                applyDecisions();
            }
        }
        onlineRunning.forEach(id -> scheduler.tokensObserved(id, 1, now));
    }

    private void end(Random random) {
        List<Long> candidates = new ArrayList<>(onlineRunning);
        candidates.addAll(batchRunning);
        if (random.nextInt(4) == 0) {
            candidates.addAll(onlineWaiting);
            candidates.addAll(batchWaiting);
        }
        if (!candidates.isEmpty()) {
            end(candidates.get(random.nextInt(candidates.size())));
        }
    }

    private void end(long id) {
        if (onlineWaiting.remove(id)
                | batchWaiting.remove(id)
                | onlineRunning.remove(id)
                | batchRunning.remove(id)) {
            ended++;
            scheduler.ended(id, now);
            applyDecisions();
        }
    }

    /** Applies decisions as the agent does; each must fit the state of its request or item. */
    private void applyDecisions() {
        for (Decision decision : scheduler.decisions()) {
            long id = decision.id();
            switch (decision) {
                case Decision.Start start ->
                        assertThat(
                                        onlineWaiting.remove(id) && onlineRunning.add(id)
                                                || batchWaiting.remove(id) && batchRunning.add(id))
                                .as("only a waiting request or item is started: %s", id)
                                .isTrue();
                case Decision.Preempt preempt -> {
                    assertThat(batchRunning.remove(id)).isTrue();
                    assertThat(tokens.get(id))
                            .as("preempts the stream with the fewest tokens")
                            .isLessThanOrEqualTo(
                                    batchRunning.stream()
                                            .mapToLong(tokens::get)
                                            .min()
                                            .orElse(Long.MAX_VALUE));
                    batchWaiting.add(id);
                }
                case Decision.Refuse refuse -> {
                    assertThat(onlineWaiting.remove(id)).isTrue();
                    refused++;
                }
            }
        }
    }

    private void checkInvariants(boolean open, String context) {
        AdmissionLoad load = scheduler.load(now);
        assertThat(load.onlineRunning()).as(context).isEqualTo(onlineRunning.size());
        assertThat(load.onlineWaiting()).as(context).isEqualTo(onlineWaiting.size());
        assertThat(load.batchRunning()).as(context).isEqualTo(batchRunning.size());
        assertThat(load.batchWaiting()).as(context).isEqualTo(batchWaiting.size());
        if (open && !onlineWaiting.isEmpty()) {
            assertThat(batchRunning)
                    .as("online request waits while batch items run, " + context)
                    .isEmpty();
        }
    }

    private void finishAll() {
        while (!onlineWaiting.isEmpty()
                || !batchWaiting.isEmpty()
                || !onlineRunning.isEmpty()
                || !batchRunning.isEmpty()) {
            now += 10_000_000;
            scheduler.tick(now);
            applyDecisions();
            onlineRunning.stream().findFirst().ifPresent(this::end);
            batchRunning.stream().findFirst().ifPresent(this::end);
        }
    }

    private static AdmissionPolicy policy(Profile profile) {
        AdmissionPolicy base =
                AdmissionPolicy.forEngine(
                        new FleetSettings(
                                profile,
                                Duration.ofMillis(20),
                                FleetSettings.DEFAULT.operatorKeys(),
                                1));
        return new AdmissionPolicy(
                base.interTokenTarget(),
                base.stepPercentile(),
                4,
                MAX_LIMIT,
                true,
                base.headroomPerBurst(),
                0.2,
                base.burstHalfLife(),
                100,
                100);
    }
}
