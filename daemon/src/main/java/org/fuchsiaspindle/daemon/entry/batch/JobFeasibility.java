package org.fuchsiaspindle.daemon.entry.batch;

import java.time.Duration;
import java.util.Optional;

/** Estimates whether a job can meet its deadline. Thread-safe; never blocks. */
@FunctionalInterface
interface JobFeasibility {

    /**
     * Returns why a job cannot meet its deadline, empty if no reason is known.
     *
     * @param model the model that its items use
     * @param items number of items
     * @param window completion window, from now to the deadline
     */
    Optional<String> infeasibilityReason(String model, int items, Duration window);
}
