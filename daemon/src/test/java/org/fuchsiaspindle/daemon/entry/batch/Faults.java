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
        PROCESS_CRASH,
        PAUSE_BEYOND_LEASE,
        REQUEST_LOST,
        RESPONSE_LOST,
        TABLE_DOWN,
        OBJECT_STORE_DOWN,
        DUPLICATE,
        TWO_FAULTS
    }

    /** A fault that is injected when the countdown of executions of a step reaches 0. */
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

    private static final int MAX_EXECUTIONS_TO_FAULT = 3;

    private final List<ScheduledFault> scheduled = new ArrayList<>();
    private final List<String> injected = new ArrayList<>();

    static Faults none() {
        return new Faults();
    }

    static Faults of(Step step, Fault fault, Random random) {
        Faults faults = new Faults();
        if (fault != Fault.TWO_FAULTS) {
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
        boolean isRareStep = step == Step.ACCEPT || step == Step.CANCEL || step == Step.READ;
        scheduled.add(
                new ScheduledFault(
                        step, fault, isRareStep ? 0 : random.nextInt(MAX_EXECUTIONS_TO_FAULT)));
    }

    /** Counts an execution of a step and returns the faults to inject into it. */
    List<Fault> trigger(Step step) {
        List<Fault> triggered = new ArrayList<>();
        for (ScheduledFault candidate : List.copyOf(scheduled)) {
            if (candidate.step == step && candidate.countdown-- == 0) {
                scheduled.remove(candidate);
                triggered.add(candidate.fault);
                injected.add(step + ":" + candidate.fault);
            }
        }
        return triggered;
    }

    /** Returns the faults injected so far, as {@code STEP:FAULT}. */
    List<String> injected() {
        return injected;
    }
}
