package org.fuchsiaspindle.daemon.entry.batch;

import java.util.List;
import java.util.Optional;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.daemon.entry.batch.Faults.Fault;
import org.fuchsiaspindle.daemon.entry.batch.Faults.Step;
import org.fuchsiaspindle.platform.object.ObjectStore;

/** The object store as seen by one entry, with faults injected at the steps of a job. */
final class FaultyObjects implements ObjectStore {

    private final BatchSimulation simulation;
    private final SimEntry entry;

    FaultyObjects(BatchSimulation simulation, SimEntry entry) {
        this.simulation = simulation;
        this.entry = entry;
    }

    @Override
    public void put(String name, byte[] data) {
        checkAvailable();
        if (simulation.areResultWritesRefused() && name.startsWith("result/")) {
            throw unavailable();
        }
        List<Fault> faults =
                name.startsWith("result/")
                        ? simulation.faults().trigger(Step.STORE_RESULT)
                        : List.of();
        Runnable action = () -> simulation.objects().put(name, data);
        for (Fault fault : faults) {
            simulation.injectWithinCall(fault, entry, action);
        }
        checkAvailable();
        if (faults.contains(Fault.REQUEST_LOST)) {
            throw unavailable();
        }
        action.run();
        if (faults.contains(Fault.DUPLICATE)) {
            action.run();
        }
        if (faults.contains(Fault.RESPONSE_LOST)) {
            throw unavailable();
        }
    }

    @Override
    public Optional<byte[]> read(String name) {
        checkAvailable();
        if (name.startsWith("result/")) {
            for (Fault fault : simulation.faults().trigger(Step.READ)) {
                simulation.injectWithinCall(fault, entry, () -> {});
                if (fault == Fault.REQUEST_LOST || fault == Fault.RESPONSE_LOST) {
                    throw unavailable();
                }
            }
            checkAvailable();
        }
        return simulation.objects().read(name);
    }

    @Override
    public void delete(String name) {
        checkAvailable();
        simulation.objects().delete(name);
    }

    private void checkAvailable() {
        if (simulation.isObjectStoreDown()) {
            throw unavailable();
        }
    }

    private static FuchsiaspindleException unavailable() {
        return new FuchsiaspindleException(
                ResultCode.OBJECT_STORE_UNAVAILABLE, "object store does not respond");
    }
}
