package org.fuchsiaspindle.core.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against items that belong to no segment or to two. */
final class SegmentPlanTest {

    @Test
    void segments_coverEveryLineOnceAndNeverSpanTwoParts() {
        Random random = new Random(3);
        for (int run = 0; run < 200; run++) {
            List<Integer> parts = random.ints(1 + random.nextInt(8), 1, 257).boxed().toList();
            SegmentPlan plan = SegmentPlan.of(1 + random.nextInt(256), parts);
            int item = 0;
            int part = 0;
            int line = 0;
            for (int n = 0; n < plan.segments(); n++) {
                SegmentPlan.Segment segment = plan.segment(n);
                if (line == parts.get(part)) {
                    part++;
                    line = 0;
                }
                assertThat(segment.part()).isEqualTo(part);
                assertThat(segment.firstLine()).isEqualTo(line);
                assertThat(segment.firstItem()).isEqualTo(item);
                assertThat(segment.items()).isPositive();
                line += segment.items();
                item += segment.items();
                assertThat(line).isLessThanOrEqualTo(parts.get(part));
            }
            assertThat(item).isEqualTo(plan.items());
        }
    }

    @Test
    void segmentItems_dependsOnTheNumberOfTargets() {
        assertThat(SegmentPlan.segmentItems(350_000, 567)).isEqualTo(154);
        assertThat(SegmentPlan.segmentItems(350_000, 1)).isEqualTo(256);
        assertThat(SegmentPlan.segmentItems(20, 11)).isEqualTo(1);
    }
}
