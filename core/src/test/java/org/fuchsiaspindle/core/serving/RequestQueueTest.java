package org.fuchsiaspindle.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a wrong start order of waiting requests, which makes more responses late under
 * overload.
 */
final class RequestQueueTest {

    private final RequestQueue<String> queue = new RequestQueue<>();

    @Test
    void urgentRoutes_startFirst() {
        queue.add(new RequestQueue.Entry<>("less urgent", 2, 500, 1000, 1));
        queue.add(new RequestQueue.Entry<>("urgent", 0, 500, 1000, 2));
        assertThat(order(10)).containsExactly("urgent", "less urgent");
    }

    /**
     * Guards against requests that are already past their latency target and delay requests that
     * are not.
     */
    @Test
    void requestsThatCanBeOnTime_startBeforeLateOnes() {
        queue.add(new RequestQueue.Entry<>("already late", 0, 50, 1000, 1));
        queue.add(new RequestQueue.Entry<>("second", 0, 500, 1000, 3));
        queue.add(new RequestQueue.Entry<>("first", 0, 500, 1000, 2));
        assertThat(order(100)).containsExactly("first", "second", "already late");
    }

    @Test
    void expiredRequests_areRemoved() {
        queue.add(new RequestQueue.Entry<>("expired", 0, 50, 80, 1));
        queue.add(new RequestQueue.Entry<>("useful", 0, 50, 200, 1));
        assertThat(queue.removeExpired(100)).containsExactly("expired");
        assertThat(queue.size()).isEqualTo(1);
    }

    @Test
    void estimate_growsWithTheQueueAndShrinksWithTheSlots() {
        Duration time = Duration.ofMillis(800);
        assertThat(RequestQueue.estimateWait(7, 8, time)).isEqualTo(time);
        assertThat(RequestQueue.estimateWait(15, 8, time)).isEqualTo(time.multipliedBy(2));
        assertThat(RequestQueue.estimateWait(0, 0, time)).isGreaterThan(Duration.ofHours(1));
    }

    @Test
    void ahead_countsRequestsThatStartBeforeANewOne() {
        queue.add(new RequestQueue.Entry<>("late", 0, 50, 1000, 1));
        queue.add(new RequestQueue.Entry<>("on time", 0, 500, 1000, 1));
        queue.add(new RequestQueue.Entry<>("less urgent", 2, 500, 1000, 1));
        assertThat(queue.ahead(0, 100)).isEqualTo(1);
        assertThat(queue.ahead(2, 100)).isEqualTo(3);
    }

    private List<String> order(long now) {
        List<String> order = new ArrayList<>();
        while (queue.size() > 0) {
            String next = queue.peek(now).orElseThrow();
            order.add(next);
            queue.remove(next);
        }
        return order;
    }
}
