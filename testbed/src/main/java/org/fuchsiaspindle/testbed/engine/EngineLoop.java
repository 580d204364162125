package org.fuchsiaspindle.testbed.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.LockSupport;
import java.util.concurrent.locks.ReentrantLock;
import java.util.stream.Stream;
import org.fuchsiaspindle.testbed.ledger.EngineRun;

/**
 * Simulates continuous batching in real time: each step generates one token for every running
 * stream.
 *
 * <p>Streams are admitted in order of arrival at the start of a step. The duration of a step grows
 * with the number of running streams and with the uncached prompt tokens of the streams that it
 * admits. Cancellations take effect at the start of the next step. Thread-safe.
 */
final class EngineLoop implements AutoCloseable {

    private static final int MAX_IMPORTS = 256;
    private static final int MAX_ENDED_STREAMS = 256;
    private static final long MAX_STEP_DELAY_NANOS = 50_000_000;

    private final EngineSettings settings;
    private final PrefixCache cache;
    private final Runnable onCrash;
    private final Thread thread;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();

    // Guarded by the lock.
    private final Deque<EngineStream> waiting = new ArrayDeque<>();
    private final List<EngineStream> running = new ArrayList<>();
    private final Map<String, Integer> imports = new LinkedHashMap<>();
    private final Map<String, EngineStream> ended = new LinkedHashMap<>();
    private boolean closed;

    /** The number of running and waiting streams, and the tokens in the key-value cache. */
    record Load(int running, int waiting, int kvUsed) {}

    private record Step(List<EngineStream> streams, int prefillTokens, boolean afterIdle) {}

    EngineLoop(EngineSettings settings, PrefixCache cache, Runnable onCrash) {
        this.settings = settings;
        this.cache = cache;
        this.onCrash = onCrash;
        thread =
                Thread.ofPlatform().name("engine-" + settings.name()).daemon().unstarted(this::run);
    }

    void start() {
        thread.start();
    }

    /** Enqueues a stream; returns false if its request is already waiting or running. */
    boolean submit(EngineStream stream) {
        lock.lock();
        try {
            if (find(stream.request().requestId()) != null) {
                return false;
            }
            waiting.add(stream);
            changed.signalAll();
            return true;
        } finally {
            lock.unlock();
        }
    }

    /** Cancels a request; returns false if it is neither waiting nor running. */
    boolean cancel(String requestId) {
        lock.lock();
        try {
            EngineStream stream = find(requestId);
            if (stream == null) {
                return false;
            }
            stream.cancel();
            changed.signalAll();
            return true;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the stream of a request that is waiting, running or among the most recently ended
     * ones, or null.
     */
    EngineStream stream(String requestId) {
        lock.lock();
        try {
            EngineStream stream = find(requestId);
            return stream == null ? ended.get(requestId) : stream;
        } finally {
            lock.unlock();
        }
    }

    /** Records the number of tokens of a request whose key-value cache was imported. */
    void addImport(String requestId, int tokens) {
        lock.lock();
        try {
            put(imports, requestId, tokens, MAX_IMPORTS);
        } finally {
            lock.unlock();
        }
    }

    Load load() {
        lock.lock();
        try {
            int heldTokens = running.stream().mapToInt(EngineStream::heldTokens).sum();
            return new Load(running.size(), waiting.size(), heldTokens);
        } finally {
            lock.unlock();
        }
    }

    /** Ends all streams as lost, as in a process crash. */
    void dropAll() {
        lock.lock();
        try {
            running.forEach(stream -> stream.end(EngineRun.State.LOST));
            waiting.forEach(stream -> stream.end(EngineRun.State.LOST));
            running.clear();
            waiting.clear();
            imports.clear();
            ended.clear();
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void close() {
        lock.lock();
        try {
            closed = true;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
        dropAll();
    }

    private void run() {
        long end = System.nanoTime();
        while (true) {
            Step step = beginStep();
            if (step == null) {
                return;
            }
            long now = System.nanoTime();
            // A step starts when the previous one was due to end, so that delays do not accumulate.
            // After an idle period or a JVM pause it starts now instead.
            long start = step.afterIdle() || now - end > MAX_STEP_DELAY_NANOS ? now : end;
            end = start + stepNanos(step);
            sleepUntil(end);
            if (finishStep(step)) {
                onCrash.run();
            }
        }
    }

    private long stepNanos(Step step) {
        return settings.baseStep().toNanos()
                + settings.stepPerStream().toNanos() * step.streams().size()
                + settings.prefillPerToken().toNanos() * step.prefillTokens();
    }

    private static void sleepUntil(long end) {
        for (long remaining = end - System.nanoTime();
                remaining > 0;
                remaining = end - System.nanoTime()) {
            LockSupport.parkNanos(remaining);
        }
    }

    /** Waits for streams and admits those that fit; returns null if the loop is closed. */
    private Step beginStep() {
        boolean waited = false;
        lock.lock();
        try {
            while (true) {
                if (closed) {
                    return null;
                }
                removeCancelled();
                int prefill = admit();
                if (!running.isEmpty()) {
                    return new Step(List.copyOf(running), prefill, waited);
                }
                waited = true;
                changed.awaitUninterruptibly();
            }
        } finally {
            lock.unlock();
        }
    }

    private void removeCancelled() {
        endCancelled(waiting.stream().filter(EngineStream::isCancelled).toList());
        endCancelled(running.stream().filter(EngineStream::isCancelled).toList());
    }

    private void endCancelled(List<EngineStream> streams) {
        for (EngineStream stream : streams) {
            waiting.remove(stream);
            end(stream, EngineRun.State.CANCELLED);
        }
    }

    private void end(EngineStream stream, EngineRun.State state) {
        running.remove(stream);
        put(ended, stream.request().requestId(), stream, MAX_ENDED_STREAMS);
        stream.end(state);
    }

    /** Adds an entry and evicts the oldest one if the map exceeds its limit. */
    private static <T> void put(Map<String, T> map, String key, T value, int max) {
        map.remove(key);
        map.put(key, value);
        if (map.size() > max) {
            map.remove(map.keySet().iterator().next());
        }
    }

    private int admit() {
        int reserved = running.stream().mapToInt(EngineStream::reservedTokens).sum();
        int prefill = 0;
        while (!waiting.isEmpty() && running.size() < settings.maxRunning()) {
            EngineStream next = waiting.peek();
            reserved += next.reservedTokens();
            if (reserved > settings.kvTokens()) {
                break;
            }
            waiting.remove();
            running.add(next);
            prefill += prefill(next);
        }
        return prefill;
    }

    private int prefill(EngineStream stream) {
        EngineRequest request = stream.request();
        int neededTokens = request.prefillTokens();
        Integer importedTokens = imports.remove(request.requestId());
        int cachedTokens =
                Math.min(
                        neededTokens,
                        Math.max(
                                cache.cachedTokens(stream.blocks()),
                                importedTokens == null ? 0 : importedTokens));
        cache.add(request.model(), stream.blocks());
        stream.start(Math.min(cachedTokens, request.promptTokens()));
        return neededTokens - cachedTokens;
    }

    /** Generates the tokens of a step; returns true if a poisoned prompt crashes the process. */
    private boolean finishStep(Step step) {
        lock.lock();
        try {
            for (EngineStream stream : step.streams()) {
                // The stream may have been dropped during the step.
                if (stream.isCancelled() || !running.contains(stream)) {
                    continue;
                }
                if (stream.request().isPoisoned()) {
                    return true;
                }
                if (stream.produce()) {
                    end(stream, EngineRun.State.COMPLETED);
                }
            }
            return false;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the waiting or running stream of a request, or null. Cancelled streams are ignored,
     * so that a request can be resumed before its cancelled stream has ended.
     */
    private EngineStream find(String requestId) {
        return Stream.concat(running.stream(), waiting.stream())
                .filter(stream -> !stream.isCancelled())
                .filter(stream -> stream.request().requestId().equals(requestId))
                .findFirst()
                .orElse(null);
    }
}
