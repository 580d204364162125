package org.fuchsiaspindle.testbed.ledger;

import com.google.common.collect.ImmutableList;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Predicate;

/**
 * Records the runs and orders of all engines of a fleet. Thread-safe; entries are never removed.
 */
public final class EngineLedger {

    private static final int KEY_PART_CHARS = 100;

    private final Queue<EngineRun> runs = new ConcurrentLinkedQueue<>();
    private final Queue<OrderRecord> orders = new ConcurrentLinkedQueue<>();

    /**
     * An order that an engine received.
     *
     * @param engine the engine's name
     * @param fence the fencing number of the order
     * @param order the kind of order
     * @param model the model, empty if the order has none
     * @param accepted false if the engine refused it
     * @param atNanos when it was received, by {@link System#nanoTime()}
     */
    public record OrderRecord(
            String engine,
            long fence,
            String order,
            String model,
            boolean accepted,
            long atNanos) {}

    private EngineLedger() {}

    /** Creates an empty ledger. */
    public static EngineLedger create() {
        return new EngineLedger();
    }

    /** Records a new run in the state {@link EngineRun.State#WAITING}. */
    public EngineRun open(
            String engine, String requestId, String model, String prompt, int firstToken) {
        EngineRun run = new EngineRun(engine, requestId, model, promptKey(prompt), firstToken);
        runs.add(run);
        return run;
    }

    /** Records an order. */
    public void addOrder(OrderRecord order) {
        orders.add(order);
    }

    /** Returns all runs in order of arrival. */
    public ImmutableList<EngineRun> runs() {
        return ImmutableList.copyOf(runs);
    }

    /** Returns the runs that match a condition, in order of arrival. */
    public ImmutableList<EngineRun> runs(Predicate<EngineRun> condition) {
        return runs.stream().filter(condition).collect(ImmutableList.toImmutableList());
    }

    /** Returns the runs of a request. */
    public ImmutableList<EngineRun> runsOf(String requestId) {
        return runs(run -> run.requestId().equals(requestId));
    }

    /** Returns the runs whose {@linkplain EngineRun#promptKey prompt key} contains a text. */
    public ImmutableList<EngineRun> runsWithPrompt(String text) {
        return runs(run -> run.promptKey().contains(text));
    }

    /** Returns the number of runs in a state. */
    public long count(EngineRun.State state) {
        return runs.stream().filter(run -> run.state() == state).count();
    }

    /** Returns the number of tokens that all runs produced. */
    public long tokensGenerated() {
        return runs.stream().mapToLong(EngineRun::tokensGenerated).sum();
    }

    /** Returns all orders in order of arrival. */
    public ImmutableList<OrderRecord> orders() {
        return ImmutableList.copyOf(orders);
    }

    /** Shortens a long prompt to its start and its end, which is where tests put their markers. */
    private static String promptKey(String prompt) {
        int length = prompt.length();
        return length <= 2 * KEY_PART_CHARS
                ? prompt
                : prompt.substring(0, KEY_PART_CHARS)
                        + "..."
                        + prompt.substring(length - KEY_PART_CHARS);
    }
}
