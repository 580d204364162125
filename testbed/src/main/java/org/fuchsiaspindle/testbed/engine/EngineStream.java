package org.fuchsiaspindle.testbed.engine;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.LinkedBlockingQueue;
import org.fuchsiaspindle.testbed.ledger.EngineRun;

/**
 * The state of one request in the engine. The engine's loop produces its events; a single writer
 * consumes them.
 */
final class EngineStream {

    private final EngineRequest request;
    private final EngineRun run;
    private final ImmutableList<String> blocks;
    private final LinkedBlockingQueue<Event> events = new LinkedBlockingQueue<>();

    // Written by the loop under its lock, read by other threads without it.
    private volatile int nextToken;
    private volatile int cachedTokens;
    private volatile boolean cancelled;

    /** An event for the writer. */
    sealed interface Event {

        /** A token was generated. */
        record Token(int index) implements Event {}

        /** The stream ended. */
        record End(EngineRun.State state) implements Event {}
    }

    EngineStream(EngineRequest request, EngineRun run) {
        this.request = request;
        this.run = run;
        blocks = PrefixBlocks.hashes(request.model(), request.prompt());
        nextToken = request.continueTokens();
    }

    EngineRequest request() {
        return request;
    }

    EngineRun run() {
        return run;
    }

    ImmutableList<String> blocks() {
        return blocks;
    }

    LinkedBlockingQueue<Event> events() {
        return events;
    }

    int nextToken() {
        return nextToken;
    }

    int cachedTokens() {
        return cachedTokens;
    }

    boolean isCancelled() {
        return cancelled;
    }

    void cancel() {
        cancelled = true;
    }

    /** Returns the number of tokens in the prompt and in the output so far. */
    int heldTokens() {
        return request.promptTokens() + nextToken;
    }

    /** Returns the number of tokens in the prompt and in the complete output. */
    int reservedTokens() {
        return request.promptTokens() + request.output().length();
    }

    void start(int cached) {
        cachedTokens = cached;
        run.start();
    }

    /** Generates the next token, if any; returns true if the output is then complete. */
    boolean produce() {
        int index = nextToken;
        if (index >= request.output().length()) {
            return true;
        }
        run.addGenerated();
        nextToken = index + 1;
        events.add(new Event.Token(index));
        return index + 1 >= request.output().length();
    }

    void end(EngineRun.State state) {
        run.end(state);
        events.add(new Event.End(state));
    }
}
