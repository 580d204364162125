package org.fuchsiaspindle.core.slot;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Replays waves of online requests, 3 s at 0.38 and 2.2 s at 1.85 times the mean rate, beside batch
 * items. The baseline is the same pool without workspaces, which serves the oldest request first,
 * and without known start times of items, so that a preemption keeps a slot free for 100 ms.
 */
final class WaveReplayTest {

    private static final int SEEDS = 3;

    /**
     * Load: one workspace sends six times its usual rate for 7 s, so that waves exceed the slots.
     * Guards against other workspaces whose requests are late or refused for it, against a
     * workspace that starves, and against order that makes more requests late than it saves.
     */
    @Test
    void hotWorkspace_delaysOnlyItself() {
        PoolReplay.Load load = load(46, 6);
        PoolReplay.Counts othersBefore = new PoolReplay.Counts();
        PoolReplay.Counts others = new PoolReplay.Counts();
        PoolReplay.Counts allBefore = new PoolReplay.Counts();
        PoolReplay.Counts all = new PoolReplay.Counts();
        for (int seed = 1; seed <= SEEDS; seed++) {
            PoolReplay before = new PoolReplay(load, false, false, seed).run();
            PoolReplay after = new PoolReplay(load, true, true, seed).run();
            othersBefore.add(before.total(PoolReplay.LARGEST));
            others.add(after.total(PoolReplay.LARGEST));
            allBefore.add(before.total(""));
            all.add(after.total(""));
            double servedShare = after.total("").servedShare();
            assertThat(after.counts.values())
                    .allSatisfy(
                            count ->
                                    assertThat(count.servedShare()).isGreaterThan(servedShare / 4));
        }
        assertThat(othersBefore.onTimeShare()).isLessThan(0.96);
        assertThat(others.onTimeShare()).isGreaterThan(0.98);
        assertThat(others.refused).isLessThanOrEqualTo(othersBefore.refused / 4);
        assertThat(all.onTimeShare()).isGreaterThan(allBefore.onTimeShare() - 0.01);
    }

    /**
     * Load: waves that leave part of the slots to items of several seconds. Guards against items
     * that start in slots which the wave takes back at once, and against idle slots instead.
     */
    @Test
    void waves_cutFewerRunsForAsManyResults() {
        PoolReplay.Load load = load(46, 1);
        int cutBefore = 0;
        int cut = 0;
        int completedBefore = 0;
        int completed = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            PoolReplay before = new PoolReplay(load, true, false, seed).run();
            PoolReplay after = new PoolReplay(load, true, true, seed).run();
            cutBefore += before.cutRuns;
            cut += after.cutRuns;
            completedBefore += before.completedItems;
            completed += after.completedItems;
            assertThat(after.idleShare()).isLessThan(0.02);
        }
        assertThat(cut).isLessThan(cutBefore * 4 / 5);
        assertThat(completed).isGreaterThan(completedBefore * 19 / 20);
    }

    /** Guards against requests that are late or refused, or idle slots, under a constant load. */
    @Test
    void constantLoad_isServedAsBefore() {
        PoolReplay.Load load =
                new PoolReplay.Load(
                        20, 40, 1, 1, 1, Duration.ZERO, Duration.ZERO, 40, Duration.ofSeconds(5));
        IntStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> new PoolReplay(load, true, true, seed).run())
                .forEach(
                        replay -> {
                            PoolReplay.Counts all = replay.total("");
                            assertThat(all.onTime).isEqualTo(all.offered);
                            assertThat(replay.idleShare()).isLessThan(0.03);
                        });
    }

    private static PoolReplay.Load load(double requestsPerSecond, double hotFactor) {
        return new PoolReplay.Load(
                20,
                requestsPerSecond,
                0.38,
                1.85,
                hotFactor,
                Duration.ofSeconds(15),
                Duration.ofSeconds(22),
                40,
                Duration.ofSeconds(5));
    }
}
