package org.fuchsiaspindle.testbed.bench.decision;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.admission.AdmissionPolicy;
import org.fuchsiaspindle.core.admission.AdmissionScheduler;
import org.fuchsiaspindle.core.admission.BatchRequest;
import org.fuchsiaspindle.core.admission.Decision;
import org.fuchsiaspindle.core.admission.OnlineRequest;
import org.fuchsiaspindle.core.config.FleetSettings;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the admission and completion of an online request with 9,900 waiting batch items. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class AdmissionDecision {

    private static final int WAITING_ITEMS = 9_900;
    private static final int CUSTOMERS = 100;
    private static final long STEP_NANOS = 1_000_000;
    private static final long DISTANT_DEADLINE_NANOS = Long.MAX_VALUE / 2;

    private AdmissionScheduler scheduler;
    private long now;
    private long nextId;

    /** Fills the scheduler with waiting batch items. */
    @Setup
    public void setUp() {
        scheduler =
                AdmissionScheduler.create(AdmissionPolicy.forEngine(FleetSettings.DEFAULT), now);
        for (int i = 0; i < WAITING_ITEMS; i++) {
            nextId++;
            scheduler.batchArrived(
                    new BatchRequest(
                            nextId,
                            "customer-" + i % CUSTOMERS,
                            1,
                            DISTANT_DEADLINE_NANOS,
                            64,
                            0,
                            false),
                    now);
        }
        scheduler.decisions();
    }

    /** Admits an online request, which preempts a batch stream, and ends it. */
    @Benchmark
    public List<Decision> admit() {
        now += STEP_NANOS;
        nextId++;
        scheduler.onlineArrived(
                new OnlineRequest(nextId, "online", 0, 1, OnlineRequest.NO_DEADLINE, 64), now);
        scheduler.ended(nextId, now);
        return scheduler.decisions();
    }
}
