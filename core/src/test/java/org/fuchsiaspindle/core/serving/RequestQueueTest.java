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
        queue.add(new RequestQueue.Entry<>("less urgent", 2, "", 1, 500, 1000, 0));
        queue.add(new RequestQueue.Entry<>("urgent", 0, "", 1, 600, 1000, 0));
        assertThat(order(10)).containsExactly("urgent", "less urgent");
    }

    /**
     * Guards against requests that are already past their latency target and delay requests that
     * are not.
     */
    @Test
    void requestsThatCanBeOnTime_startBeforeLateOnes() {
        queue.add(new RequestQueue.Entry<>("already late", 0, "", 1, 50, 1000, 0));
        queue.add(new RequestQueue.Entry<>("second", 0, "", 1, 600, 1000, 0));
        queue.add(new RequestQueue.Entry<>("first", 0, "", 1, 500, 1000, 0));
        assertThat(order(100)).containsExactly("first", "second", "already late");
    }

    @Test
    void expiredRequests_areRemoved() {
        queue.add(new RequestQueue.Entry<>("expired", 0, "", 1, 50, 80, 0));
        queue.add(new RequestQueue.Entry<>("useful", 0, "", 1, 50, 200, 0));
        assertThat(queue.removeExpired(100)).containsExactly("expired");
        assertThat(queue.size()).isEqualTo(1);
    }

    @Test
    void estimate_growsWithTheQueueAndShrinksWithTheSlots() {
        Duration time = Duration.ofMillis(800);
        assertThat(estimate(7, 8, time)).isEqualTo(time);
        assertThat(estimate(15, 8, time)).isEqualTo(time.multipliedBy(2));
        assertThat(estimate(0, 0, time)).isGreaterThan(Duration.ofHours(1));
    }

    @Test
    void ahead_countsRequestsThatStartBeforeANewOne() {
        queue.add(new RequestQueue.Entry<>("late", 0, "", 1, 50, 1000, 0));
        queue.add(new RequestQueue.Entry<>("on time", 0, "", 1, 500, 1000, 0));
        queue.add(new RequestQueue.Entry<>("less urgent", 2, "", 1, 500, 1000, 0));
        assertThat(ahead(0)).isEqualTo(1);
        assertThat(ahead(2)).isEqualTo(3);
    }

    /**
     * Load: one workspace fills the queue. Guards against requests of others that are late for it,
     * and against order that makes requests late although all could be on time.
     */
    @Test
    void whenNotAllCanBeOnTime_theWorkspaceFurthestOverItsShareGivesWay() {
        for (int i = 0; i < 6; i++) {
            add("large-" + i, "large", 150 + i, 1000);
        }
        add("small", "small", 160, 1000);
        assertThat(queue.surplus(pace(100, 1))).isEmpty();
        assertThat(order(100, 1).getLast()).isEqualTo("small");

        for (int i = 0; i < 6; i++) {
            add("large-" + i, "large", 150 + i, 1000);
        }
        add("small", "small", 160, 1000);
        assertThat(queue.surplus(pace(100, 20)))
                .extracting(position -> position.entry().workspace())
                .containsOnly("large")
                .hasSize(5);
    }

    /** Guards against late requests of one workspace that keep those of others from any slot. */
    @Test
    void lateRequests_takeTurnsBetweenWorkspaces() {
        for (int i = 0; i < 4; i++) {
            add("large-" + i, "large", 10 + i, 1000);
        }
        add("small", "small", 50, 1000);
        assertThat(order(100, 1)).startsWith("large-0", "small", "large-1");
    }

    /** Guards against a workspace whose requests always give way and so starve. */
    @Test
    void workspaceServedLessThanAQuarterAsOftenAsAll_goesFirst() {
        add("late", "starved", 50, 1000);
        for (int i = 0; i < 40; i++) {
            queue.recordRefused(0, "starved");
            add("on time " + i, "other", 500, 1000);
        }
        queue.start(queue.next(pace(100, 1), request -> true).orElseThrow());
        assertThat(queue.isStarved(0, "starved")).isTrue();
        assertThat(order(100, 1)).startsWith("late");
    }

    /** Guards against a workspace that goes first because it sends so much that is refused. */
    @Test
    void workspaceThatWasServedMore_doesNotGoFirstForItsRefusals() {
        add("older", "other", 400, 1000);
        for (int i = 0; i < 200; i++) {
            queue.recordRefused(0, "flooding");
        }
        serve("third", 400);
        serve("other", 8);
        serve("flooding", 12);
        add("newer", "flooding", 500, 1000);
        assertThat(queue.isStarved(0, "flooding")).isTrue();
        assertThat(order(100, 1)).containsExactly("older", "newer");
    }

    /** Guards against late requests that wait until they time out although that is known. */
    @Test
    void lateRequestsThatCannotStartInTime_areExpectedTimeouts() {
        add("first", "a", 50, 130);
        add("second", "b", 51, 130);
        assertThat(queue.expectedTimeouts(pace(100, 20)))
                .extracting(position -> position.entry().request())
                .containsExactly("second");
    }

    private void serve(String workspace, int count) {
        for (int i = 0; i < count; i++) {
            String name = workspace + " served " + i;
            add(name, workspace, 500, 1000);
            queue.start(name);
        }
    }

    private void add(String name, String workspace, long onTimeUntil, long startUntil) {
        queue.add(new RequestQueue.Entry<>(name, 0, workspace, 1, onTimeUntil, startUntil, 0));
    }

    private static Duration estimate(int ahead, int slots, Duration serviceTime) {
        return new Pace(0, RequestQueue.timePerRequest(slots, serviceTime)).expectedWait(ahead);
    }

    private double ahead(int priority) {
        RequestQueue.Entry<String> entry =
                new RequestQueue.Entry<>("new", priority, "", 1, 900, 1000, 0);
        return queue.costAheadIfAdded(entry, pace(100, 1));
    }

    private static Pace pace(long now, int nanosPerRequest) {
        return new Pace(now, Duration.ofNanos(nanosPerRequest));
    }

    private List<String> order(long now) {
        return order(now, 1);
    }

    private List<String> order(long now, int nanosPerRequest) {
        List<String> order = new ArrayList<>();
        while (queue.size() > 0) {
            String next = queue.next(pace(now, nanosPerRequest), request -> true).orElseThrow();
            order.add(next);
            queue.start(next);
        }
        return order;
    }
}
