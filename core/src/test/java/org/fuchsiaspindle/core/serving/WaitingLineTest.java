package org.fuchsiaspindle.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards the order in which waiting requests start, which decides what overload costs. */
final class WaitingLineTest {

    private final WaitingLine<String> line = new WaitingLine<>();

    @Test
    void urgentRoutes_goFirst() {
        line.add(new WaitingLine.Entry<>("late class", 2, 500, 1000, 1));
        line.add(new WaitingLine.Entry<>("urgent", 0, 500, 1000, 2));
        assertThat(order(10)).containsExactly("urgent", "late class");
    }

    /** Guards against requests that are past their latency target and make others late, too. */
    @Test
    void requestsThatCanBeOnTime_goBeforeLateOnes() {
        line.add(new WaitingLine.Entry<>("already late", 0, 50, 1000, 1));
        line.add(new WaitingLine.Entry<>("second", 0, 500, 1000, 3));
        line.add(new WaitingLine.Entry<>("first", 0, 500, 1000, 2));
        assertThat(order(100)).containsExactly("first", "second", "already late");
    }

    @Test
    void expiredRequests_leaveTheLine() {
        line.add(new WaitingLine.Entry<>("expired", 0, 50, 80, 1));
        line.add(new WaitingLine.Entry<>("useful", 0, 50, 200, 1));
        assertThat(line.removeExpired(100)).containsExactly("expired");
        assertThat(line.size()).isEqualTo(1);
    }

    @Test
    void estimate_growsWithTheLineAndShrinksWithTheSlots() {
        Duration time = Duration.ofMillis(800);
        assertThat(WaitingLine.estimateWait(7, 8, time)).isEqualTo(time);
        assertThat(WaitingLine.estimateWait(15, 8, time)).isEqualTo(time.multipliedBy(2));
        assertThat(WaitingLine.estimateWait(0, 0, time)).isGreaterThan(Duration.ofHours(1));
    }

    @Test
    void ahead_countsWhatStartsBeforeANewRequest() {
        line.add(new WaitingLine.Entry<>("late", 0, 50, 1000, 1));
        line.add(new WaitingLine.Entry<>("on time", 0, 500, 1000, 1));
        line.add(new WaitingLine.Entry<>("less urgent", 2, 500, 1000, 1));
        assertThat(line.ahead(0, 100)).isEqualTo(1);
        assertThat(line.ahead(2, 100)).isEqualTo(3);
    }

    private List<String> order(long now) {
        List<String> order = new ArrayList<>();
        while (line.size() > 0) {
            String next = line.peek(now).orElseThrow();
            order.add(next);
            line.remove(next);
        }
        return order;
    }
}
