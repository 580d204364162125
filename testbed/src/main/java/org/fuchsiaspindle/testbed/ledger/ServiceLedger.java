package org.fuchsiaspindle.testbed.ledger;

import com.google.common.collect.ImmutableList;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Records the calls that plain services executed. Thread-safe; entries are never removed. */
public final class ServiceLedger {

    private final Queue<ServiceCall> calls = new ConcurrentLinkedQueue<>();

    /**
     * A call that a service executed.
     *
     * @param service the service's name
     * @param method the HTTP method
     * @param path the path
     * @param body the body
     * @param number the number that the service assigned to the call, unique per service
     * @param atNanos when it was executed, by {@link System#nanoTime()}
     */
    public record ServiceCall(
            String service, String method, String path, String body, long number, long atNanos) {}

    private ServiceLedger() {}

    /** Creates an empty ledger. */
    public static ServiceLedger create() {
        return new ServiceLedger();
    }

    /** Records an executed call. */
    public void add(ServiceCall call) {
        calls.add(call);
    }

    /** Returns all calls in order of execution. */
    public ImmutableList<ServiceCall> calls() {
        return ImmutableList.copyOf(calls);
    }

    /** Returns the calls whose body contains a text. */
    public ImmutableList<ServiceCall> callsWithBody(String text) {
        return calls.stream()
                .filter(call -> call.body().contains(text))
                .collect(ImmutableList.toImmutableList());
    }
}
