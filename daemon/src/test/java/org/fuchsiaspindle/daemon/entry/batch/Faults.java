package org.fuchsiaspindle.daemon.entry.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** The faults of one run and the steps at which they are injected. */
final class Faults {

    /** Steps in the processing of a job. */
    enum Step {
        ACCEPT,
        SPLIT,
        LEASE,
        DISPATCH,
        RUN,
        STORE_RESULT,
        COMMIT,
        CANCEL,
        READ
    }

    /** Kinds of faults. */
    enum Fault {
        PROCESS_DIES,
        PAUSED_PAST_LEASE,
        REQUEST_LOST,
        ANSWER_LOST,
        TABLE_DOWN,
        OBJECT_STORE_DOWN,
        DUPLICATE,
        TWO_AT_ONCE
    }

    /** A fault to be injected at the n-th pass of a step. */
    private static final class ScheduledFault {

        private final Step step;
        private final Fault fault;
        private int countdown;

        ScheduledFault(Step step, Fault fault, int countdown) {
            this.step = step;
            this.fault = fault;
            this.countdown = countdown;
        }
    }

    private static final int LATEST_PASS = 3;

    private final List<ScheduledFault> scheduled = new ArrayList<>();
    private final List<String> injected = new ArrayList<>();

    static Faults none() {
        return new Faults();
    }

    static Faults of(Step step, Fault fault, Random random) {
        Faults faults = new Faults();
        if (fault != Fault.TWO_AT_ONCE) {
            faults.schedule(step, fault, random);
            return faults;
        }
        int singleFaults = Fault.values().length - 1;
        int first = random.nextInt(singleFaults);
        int second = (first + 1 + random.nextInt(singleFaults - 1)) % singleFaults;
        faults.schedule(step, Fault.values()[first], random);
        faults.schedule(step, Fault.values()[second], random);
        return faults;
    }

    private void schedule(Step step, Fault fault, Random random) {
        boolean rare = step == Step.ACCEPT || step == Step.CANCEL || step == Step.READ;
        scheduled.add(new ScheduledFault(step, fault, rare ? 0 : random.nextInt(LATEST_PASS)));
    }

    /** Counts a pass of a step and returns the faults to be injected at it. */
    List<Fault> trigger(Step step) {
        List<Fault> now = new ArrayList<>();
        for (ScheduledFault candidate : List.copyOf(scheduled)) {
            if (candidate.step == step && candidate.countdown-- == 0) {
                scheduled.remove(candidate);
                now.add(candidate.fault);
                injected.add(step + ":" + candidate.fault);
            }
        }
        return now;
    }

    /** Returns the faults injected so far, as {@code STEP:FAULT}. */
    List<String> injected() {
        return injected;
    }
}
