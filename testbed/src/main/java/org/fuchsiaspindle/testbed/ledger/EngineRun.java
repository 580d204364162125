package org.fuchsiaspindle.testbed.ledger;

/**
 * A run of a request on an engine. Only the engine modifies it; any thread may read it.
 *
 * <p>Times are {@link System#nanoTime()} of the JVM that holds the stand-ins.
 */
public final class EngineRun {

    private final String engine;
    private final String requestId;
    private final String model;
    private final String promptKey;
    private final int firstToken;
    private final long arrivedNanos = System.nanoTime();
    private volatile int tokensGenerated;
    private volatile int tokensSent;
    private volatile int chunksSent;
    private volatile State state = State.WAITING;
    private volatile long startedNanos;
    private volatile long endedNanos;

    /** The state of a run. */
    public enum State {
        /** In the engine's queue. */
        WAITING,
        /** Producing tokens. */
        RUNNING,
        /** Produced its last token. */
        COMPLETED,
        /** Cancelled, or its connection was closed by the caller. */
        CANCELLED,
        /** Lost in a crash of the engine's process. */
        LOST,
        /** Rejected with an error status. */
        REJECTED
    }

    EngineRun(String engine, String requestId, String model, String promptKey, int firstToken) {
        this.engine = engine;
        this.requestId = requestId;
        this.model = model;
        this.promptKey = promptKey;
        this.firstToken = firstToken;
    }

    /** Records that the run left the queue. */
    public void start() {
        startedNanos = System.nanoTime();
        state = State.RUNNING;
    }

    /** Records a generated token; called only by the engine's loop. */
    public void addGenerated() {
        tokensGenerated = tokensGenerated + 1;
    }

    /** Records a chunk that was written to the connection; called only by the writer of the run. */
    public void addSent(int tokens) {
        tokensSent = tokensSent + tokens;
        chunksSent = chunksSent + 1;
    }

    /** Records the end of the run; later calls have no effect. */
    public synchronized void end(State end) {
        if (endedNanos == 0) {
            state = end;
            endedNanos = System.nanoTime();
        }
    }

    /** Returns the engine's name. */
    public String engine() {
        return engine;
    }

    /** Returns the identifier of the request as sent by the agent. */
    public String requestId() {
        return requestId;
    }

    /** Returns the model. */
    public String model() {
        return model;
    }

    /** Returns the prompt, or the start and the end of a long one. */
    public String promptKey() {
        return promptKey;
    }

    /**
     * Returns the index of the first token that the run has to produce; 0 unless it resumes an
     * earlier run.
     */
    public int firstToken() {
        return firstToken;
    }

    /** Returns the number of tokens that the run produced. */
    public int tokensGenerated() {
        return tokensGenerated;
    }

    /** Returns the number of tokens that were written to the connection. */
    public int tokensSent() {
        return tokensSent;
    }

    /** Returns the number of chunks that were written to the connection. */
    public int chunksSent() {
        return chunksSent;
    }

    /** Returns the state of the run. */
    public State state() {
        return state;
    }

    /** Returns when the request arrived. */
    public long arrivedNanos() {
        return arrivedNanos;
    }

    /** Returns when the run left the queue, 0 if it has not. */
    public long startedNanos() {
        return startedNanos;
    }

    /** Returns when the run ended, 0 if it has not. */
    public long endedNanos() {
        return endedNanos;
    }

    @Override
    public String toString() {
        return "EngineRun[engine="
                + engine
                + ", requestId="
                + requestId
                + ", state="
                + state
                + ", firstToken="
                + firstToken
                + ", tokens="
                + tokensGenerated
                + ", prompt="
                + promptKey
                + "]";
    }
}
