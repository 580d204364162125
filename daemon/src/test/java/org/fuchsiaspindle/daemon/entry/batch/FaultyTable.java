package org.fuchsiaspindle.daemon.entry.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.fuchsiaspindle.core.batch.BatchJson;
import org.fuchsiaspindle.core.batch.JobRecord;
import org.fuchsiaspindle.core.batch.JobStatus;
import org.fuchsiaspindle.core.batch.SegmentRecord;
import org.fuchsiaspindle.daemon.entry.batch.Faults.Fault;
import org.fuchsiaspindle.daemon.entry.batch.Faults.Step;
import org.fuchsiaspindle.platform.table.Operation;
import org.fuchsiaspindle.platform.table.OutcomeUnknownException;
import org.fuchsiaspindle.platform.table.Row;
import org.fuchsiaspindle.platform.table.TableService;
import org.fuchsiaspindle.platform.table.TableUnavailableException;
import org.fuchsiaspindle.platform.table.Transaction;

/** The table service as seen by one entry, with faults injected at the steps of a job. */
final class FaultyTable implements TableService {

    private final BatchSimulation simulation;
    private final SimEntry entry;

    FaultyTable(BatchSimulation simulation, SimEntry entry) {
        this.simulation = simulation;
        this.entry = entry;
    }

    @Override
    public Optional<Row> read(String key) {
        simulation.executionLog().tableCall("read " + key);
        checkAvailable();
        return simulation.table().read(key);
    }

    @Override
    public List<Row> readPrefix(String prefix, String afterKey, int limit) {
        Supplier<List<Row>> action = () -> simulation.table().readPrefix(prefix, afterKey, limit);
        simulation.executionLog().tableCall("list " + prefix);
        checkAvailable();
        if (!prefix.startsWith("seg/")) {
            return action.get();
        }
        Step step = simulation.isReadingResults() ? Step.READ : Step.SPLIT;
        for (Fault fault : simulation.faults().trigger(step)) {
            simulation.injectWithinCall(fault, entry, () -> {});
            if (fault == Fault.REQUEST_LOST || fault == Fault.RESPONSE_LOST) {
                throw new TableUnavailableException("no response", null);
            }
        }
        checkAvailable();
        return action.get();
    }

    @Override
    public long commit(Transaction transaction) {
        simulation.executionLog().tableCall("write");
        checkAvailable();
        Optional<Step> step = step(transaction);
        List<Fault> faults =
                new ArrayList<>(step.map(simulation.faults()::trigger).orElse(List.of()));
        Runnable action = () -> simulation.table().commit(transaction);
        for (Fault fault : faults) {
            simulation.injectWithinCall(fault, entry, action);
        }
        checkAvailable();
        if (faults.contains(Fault.REQUEST_LOST)) {
            // Half of the lost requests are delivered in the next step, after the sender has read
            // the row to determine the outcome.
            simulation.deliverInNextStepWithHalfProbability(action);
            throw new OutcomeUnknownException("request lost", null);
        }
        long version = simulation.table().commit(transaction);
        if (faults.contains(Fault.DUPLICATE)) {
            // The sender gets the response to the duplicate, whose condition no longer holds.
            action.run();
        }
        if (faults.contains(Fault.RESPONSE_LOST)) {
            throw new OutcomeUnknownException("response lost", null);
        }
        return version;
    }

    private void checkAvailable() {
        if (simulation.isTableDown() || entry.isIsolated()) {
            throw new TableUnavailableException("table is unavailable", null);
        }
    }

    private static Optional<Step> step(Transaction transaction) {
        for (Operation operation : transaction.operations()) {
            if (operation instanceof Operation.Put put) {
                if (put.key().startsWith("job/")) {
                    JobRecord job = BatchJson.read(put.value(), JobRecord.class);
                    if (put.expectedVersion() == 0) {
                        return Optional.of(Step.ACCEPT);
                    }
                    return job.status() == JobStatus.CANCELLING
                            ? Optional.of(Step.CANCEL)
                            : Optional.empty();
                }
                if (put.key().startsWith("holder/")) {
                    return Optional.of(Step.LEASE);
                }
                if (put.key().startsWith("seg/")) {
                    return BatchJson.read(put.value(), SegmentRecord.class).isDone()
                            ? Optional.of(Step.COMMIT)
                            : Optional.of(Step.LEASE);
                }
            }
        }
        return Optional.empty();
    }
}
