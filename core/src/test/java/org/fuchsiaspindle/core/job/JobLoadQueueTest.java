package org.fuchsiaspindle.core.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;

/** Guards against a process that holds more jobs than its memory allows, or forgets some. */
final class JobLoadQueueTest {

    private static final long NOW = -7;
    private static final RandomGenerator RANDOM = new SplittableRandom(1);

    private final JobLoadQueue queue = JobLoadQueue.create(100, 30, 2);

    @Test
    void jobsThatAreDueFirst_areLoadedFirst() {
        queue.add("late", 9);
        queue.add("early", 1);
        queue.add("middle", 5);
        assertThat(queue.poll(NOW)).contains("early");
        assertThat(queue.poll(NOW)).contains("middle");
    }

    @Test
    void numberOfLoadsAtATime_isBounded() {
        queue.add("a", 1);
        queue.add("b", 2);
        queue.add("c", 3);
        queue.poll(NOW);
        queue.poll(NOW);
        assertThat(queue.poll(NOW)).isEmpty();
        queue.loaded("a", 10);
        assertThat(queue.poll(NOW)).contains("c");
    }

    @Test
    void memory_isNeverExceededAndIsUsedAgain() {
        for (int job = 0; job < 100; job++) {
            queue.add("job-" + job, job);
        }
        int finished = 0;
        while (finished < 100) {
            for (var next = queue.poll(NOW); next.isPresent(); next = queue.poll(NOW)) {
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
        assertThat(small.poll(NOW)).contains("a");
        assertThat(small.poll(NOW)).isEmpty();
        small.loaded("a", 25);
        assertThat(small.poll(NOW)).isEmpty();
        small.remove("a");
        assertThat(small.poll(NOW)).contains("b");
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
        assertThat(queue.poll(NOW)).isEmpty();
        assertThat(queue.isPending("a")).isFalse();
    }

    /**
     * Guards against loads that share the bandwidth of the store with so many others that all time
     * out, again and again.
     */
    @Test
    void failedLoads_becomeFewerAndGetMoreTime() {
        JobLoadQueue many = JobLoadQueue.create(1000, 1, 4);
        for (int job = 0; job < 8; job++) {
            many.add("job-" + job, job);
        }
        for (int load = 0; load < 4; load++) {
            assertThat(many.poll(NOW)).contains("job-" + load);
        }
        assertThat(many.poll(NOW)).isEmpty();
        assertThat(many.silenceLimit("job-0")).isEqualTo(Duration.ofSeconds(3));
        for (int load = 0; load < 4; load++) {
            many.failed("job-" + load, NOW, RANDOM);
        }
        assertThat(many.silenceLimit("job-0")).isEqualTo(Duration.ofSeconds(6));
        assertThat(many.poll(NOW)).contains("job-4");
        assertThat(many.poll(NOW)).isEmpty();
        many.loaded("job-4", 1);
        assertThat(many.poll(NOW)).contains("job-5");
        assertThat(many.poll(NOW)).contains("job-6");
        assertThat(many.poll(NOW)).isEmpty();
    }

    @Test
    void failedLoad_isRepeatedAfterADelayThatIsBounded() {
        queue.add("a", 1);
        long now = NOW;
        for (int failure = 0; failure < 20; failure++) {
            assertThat(queue.poll(now)).contains("a");
            Duration delay = queue.failed("a", now, RANDOM);
            assertThat(delay).isBetween(Duration.ofMillis(50), Duration.ofSeconds(2));
            assertThat(queue.poll(now + delay.toNanos() - 1)).isEmpty();
            assertThat(queue.isPending("a")).isTrue();
            now += delay.toNanos();
        }
        assertThat(queue.silenceLimit("a")).isEqualTo(Duration.ofSeconds(24));
    }

    /** Guards against a job that is held twice because it was lost and owned again meanwhile. */
    @Test
    void loadOfARemovedJob_isNotHeld() {
        queue.add("a", 1);
        queue.poll(NOW);
        queue.remove("a");
        queue.add("a", 1);
        assertThat(queue.loaded("a", 10)).isFalse();
        assertThat(queue.heldBytes()).isZero();
        assertThat(queue.poll(NOW)).contains("a");
        assertThat(queue.loaded("a", 10)).isTrue();
    }

    /** Guards against a failed load that holds up the others. */
    @Test
    void jobThatWaitsAfterAFailure_letsOthersPass() {
        queue.add("a", 1);
        queue.add("b", 2);
        queue.poll(NOW);
        queue.failed("a", NOW, RANDOM);
        assertThat(queue.poll(NOW)).contains("b");
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
