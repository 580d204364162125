package org.fuchsiaspindle.core.job;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a process that holds more jobs than its memory allows, or forgets some. */
final class JobLoadQueueTest {

    private final JobLoadQueue queue = JobLoadQueue.create(100, 30, 2);

    @Test
    void jobsThatAreDueFirst_areLoadedFirst() {
        queue.add("late", 9);
        queue.add("early", 1);
        queue.add("middle", 5);
        assertThat(queue.poll()).contains("early");
        assertThat(queue.poll()).contains("middle");
    }

    @Test
    void numberOfLoadsAtATime_isBounded() {
        queue.add("a", 1);
        queue.add("b", 2);
        queue.add("c", 3);
        queue.poll();
        queue.poll();
        assertThat(queue.poll()).isEmpty();
        queue.loaded("a", 10);
        assertThat(queue.poll()).contains("c");
    }

    @Test
    void memory_isNeverExceededAndIsUsedAgain() {
        for (int job = 0; job < 100; job++) {
            queue.add("job-" + job, job);
        }
        int finished = 0;
        while (finished < 100) {
            for (var next = queue.poll(); next.isPresent(); next = queue.poll()) {
                queue.loaded(next.get(), 30);
                assertThat(queue.heldBytes()).isLessThanOrEqualTo(100);
            }
            assertThat(queue.heldBytes()).isPositive();
            queue.remove("job-" + finished);
            finished++;
        }
        assertThat(queue.heldBytes()).isZero();
        assertThat(queue.waitingCount()).isZero();
    }

    /** Guards against a job that is larger than the memory for jobs and is never loaded. */
    @Test
    void largeJob_isLoadedAlone() {
        JobLoadQueue small = JobLoadQueue.create(10, 30, 2);
        small.add("a", 1);
        small.add("b", 2);
        assertThat(small.poll()).contains("a");
        assertThat(small.poll()).isEmpty();
        small.loaded("a", 25);
        assertThat(small.poll()).isEmpty();
        small.remove("a");
        assertThat(small.poll()).contains("b");
    }

    @Test
    void newJob_doesNotOvertakeWaitingOnes() {
        assertThat(queue.tryHold("first", 80)).isTrue();
        assertThat(queue.tryHold("large", 30)).isFalse();
        queue.add("large", 1);
        assertThat(queue.tryHold("small", 5)).isFalse();
    }

    @Test
    void removedJob_isNotLoaded() {
        queue.add("a", 1);
        queue.remove("a");
        assertThat(queue.poll()).isEmpty();
        assertThat(queue.isPending("a")).isFalse();
    }

    /** Guards against memory that is counted twice after a job was held anew. */
    @Test
    void jobThatIsHeldAgain_countsOnce() {
        queue.tryHold("a", 40);
        queue.tryHold("a", 50);
        assertThat(queue.heldBytes()).isEqualTo(50);
        queue.remove("a");
        assertThat(queue.heldBytes()).isZero();
    }
}
