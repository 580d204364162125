package org.fuchsiaspindle.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against an item that crashes targets and makes the other items of its segment fail. */
final class SegmentWorkTest {

    private static final ItemRecords.Response RESPONSE =
            new ItemRecords.Response("ok", "stop", 1, 1, 0);

    @Test
    void targetLost_repeatedly_halvesGroupsUntilTheCrashingItemIsAlone() {
        for (int crashing = 0; crashing < 16; crashing++) {
            SegmentWork work = work(16);
            int losses = runWithCrashingItem(work, crashing, List.of("t0", "t1", "t2", "t3", "t4"));
            assertThat(work.isComplete()).isTrue();
            assertThat(work.outcome().completed()).isEqualTo(15);
            // The first loss makes 2 groups of 8, 3 more halve a group to one item, and 3 use up
            // its budget.
            assertThat(losses).isEqualTo(1 + 3 + 3);
        }
    }

    @Test
    void targetLost_onlyOnOneTarget_failsTheItemAfterTheMaximumOfLosses() {
        SegmentWork work = work(1);
        int losses = runWithCrashingItem(work, 0, List.of("only"));
        assertThat(losses).isEqualTo(1 + 6);
        assertThat(work.outcome().failed()).isEqualTo(1);
    }

    @Test
    void takeSuspects_beforeTheirLossesAreSaved_isEmpty() {
        SegmentWork work = work(2);
        SegmentWork.Item first = work.takeReady(0).orElseThrow();
        work.targetLost(List.of(first.index()), "t0");
        assertThat(work.takeSuspects("t1", 8, false, 0)).isEmpty();
        assertThat(work.takeReady(0)).isPresent();
        int changes = work.suspectChanges();
        SegmentRecord row = work.withSuspects(SegmentRecord.claimed("h", "n"), "n2");
        assertThat(row.suspects()).containsExactly(List.of(first.index()));
        work.suspectsSaved(changes);
        assertThat(work.takeSuspects("t1", 8, false, 0)).hasSize(1);
    }

    @Test
    void of_withARowOfAnEarlierHolder_restoresSuspectsAndLosses() {
        SegmentRecord row =
                SegmentRecord.claimed("h", "n")
                        .withSuspects(List.of(List.of(1)), Map.of(1, List.of("t0", "t1")), "n2")
                        .takenOver("h2", "n3");
        SegmentWork work = SegmentWork.of("batch_j", segment(3), items(3), row);
        assertThat(work.epoch()).isEqualTo(2);
        List<SegmentWork.Item> group = work.takeSuspects("t2", 8, false, 0);
        assertThat(group).extracting(SegmentWork.Item::index).containsExactly(1);
        work.targetLost(List.of(1), "t2");
        assertThat(work.openItems()).isEqualTo(2);
    }

    @Test
    void complete_afterAResult_ignoresLaterOnes() {
        SegmentWork work = work(1);
        work.takeReady(0);
        assertThat(work.complete(0, RESPONSE, 0)).isTrue();
        assertThat(work.complete(0, new ItemRecords.Response("other", "stop", 1, 1, 0), 0))
                .isFalse();
        work.requeue(0, "", 0);
        assertThat(work.takeReady(0)).isEmpty();
        assertThat(new String(work.records().getFirst(), StandardCharsets.UTF_8))
                .contains("\"ok\"");
    }

    @Test
    void agentLost_onlyTheSecondTime_makesTheItemASuspect() {
        SegmentWork work = work(1);
        work.takeReady(0);
        work.agentLost(List.of(0), "t0");
        assertThat(work.hasReady(0)).isTrue();
        work.takeReady(0);
        work.agentLost(List.of(0), "t1");
        assertThat(work.hasReady(0)).isFalse();
        assertThat(work.hasUnsavedSuspects()).isTrue();
    }

    private static int runWithCrashingItem(SegmentWork work, int crashing, List<String> targets) {
        int losses = 0;
        List<Integer> running = new ArrayList<>();
        while (work.hasReady(0)) {
            running.add(work.takeReady(0).orElseThrow().index());
        }
        String target = targets.getFirst();
        int turn = 0;
        while (true) {
            if (running.contains(crashing)) {
                losses++;
                work.targetLost(running, target);
                work.suspectsSaved(work.suspectChanges());
            } else {
                running.forEach(index -> work.complete(index, RESPONSE, 0));
            }
            if (work.isComplete()) {
                return losses;
            }
            turn++;
            target = targets.get(turn % targets.size());
            running =
                    work.takeSuspects(target, 64, targets.size() == 1, 0).stream()
                            .map(SegmentWork.Item::index)
                            .toList();
        }
    }

    private static SegmentWork work(int count) {
        return SegmentWork.of(
                "batch_j", segment(count), items(count), SegmentRecord.claimed("h", "n"));
    }

    private static SegmentPlan.Segment segment(int count) {
        return new SegmentPlan.Segment(0, 0, 0, 0, count);
    }

    private static List<InputItem> items(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new InputItem("c" + i, InputItem.CHAT, "m", 0, new byte[0]))
                .toList();
    }
}
