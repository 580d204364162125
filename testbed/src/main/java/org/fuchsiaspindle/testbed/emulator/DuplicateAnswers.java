package org.fuchsiaspindle.testbed.emulator;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.WeakHashMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.fuchsiaspindle.testbed.emulator.AnswerLedger.AnsweredRun;
import org.fuchsiaspindle.testbed.emulator.BlockingHttpServer.Connection;
import org.fuchsiaspindle.testbed.emulator.BlockingHttpServer.Request;

/**
 * Answers the requests of an engine, a share of them twice or otherwise unsoundly.
 *
 * <p>The choices depend on the seed, the engine, the request and the number of its run there, not
 * on the order of the requests. The answers of a connection are written one after another, also the
 * late ones. Thread-safe.
 */
public final class DuplicateAnswers {

    static final int SUCCESS = 200;

    private static final int FAILURE = 500;
    private static final int REFUSAL = 503;

    /** Share of the runs to which the habit applies. */
    private static final double AFFECTED_SHARE = 0.3;

    /** Share of the other runs that fail with a sound answer. */
    private static final double FAILURE_SHARE = 0.15;

    /** Share of the requests that are refused before they run. */
    private static final double REFUSAL_SHARE = 0.02;

    /** Length from which a body counts as long, in bytes. */
    private static final int LONG_BODY_BYTES = 64 * 1024;

    private static final int MAX_LATE_MS = 20;
    private static final int MAX_PADDING_CHARS = 2000;
    private static final Duration EVENT_INTERVAL = Duration.ofMillis(1);
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final Duration BODY_DELAY = Duration.ofMillis(20);
    private static final String REFUSAL_HEADERS = "Not-Run: 1\r\n";
    private static final String NAME_HEADER = "Attempt-Id: ";
    private static final String STAMP_HEADER = "Server-Stamp: stamp\r\n";

    private final AnswerHabit habit;
    private final long seed;
    private final String engine;
    private final AnswerLedger ledger;
    private final Map<String, Integer> arrivals = new ConcurrentHashMap<>();
    private final AtomicInteger connections = new AtomicInteger();
    private final Map<Connection, History> histories =
            Collections.synchronizedMap(new WeakHashMap<>());

    /** What a connection has carried; guarded by the monitor of the connection. */
    private static final class History {

        private final int number;
        private final List<EngineAnswer> answers = new ArrayList<>();

        History(int number) {
            this.number = number;
        }
    }

    /** A run whose answer is known, with its choices. */
    private record Plan(
            Request request,
            AnsweredRun run,
            EngineAnswer answer,
            boolean affected,
            Random random) {

        boolean isHead() {
            return request.method().equals("HEAD");
        }

        boolean isStream() {
            return !request.header("X-Events").isEmpty();
        }

        /** Returns the success that the engine may claim for the run. */
        EngineAnswer success() {
            return new EngineAnswer(SUCCESS, answer.headers(), run.body(), isHead());
        }

        EngineAnswer unnamedFailure() {
            return new EngineAnswer(FAILURE, STAMP_HEADER, answer.body(), isHead());
        }
    }

    private DuplicateAnswers(AnswerHabit habit, long seed, String engine, AnswerLedger ledger) {
        this.habit = checkNotNull(habit, "habit");
        this.seed = seed;
        this.engine = checkNotNull(engine, "engine");
        this.ledger = checkNotNull(ledger, "ledger");
    }

    /**
     * Creates the behaviour of one engine.
     *
     * @param habit how it answers the affected requests
     * @param seed the random seed
     * @param engine the identifier of the engine
     * @param ledger records the runs
     */
    public static DuplicateAnswers of(
            AnswerHabit habit, long seed, String engine, AnswerLedger ledger) {
        return new DuplicateAnswers(habit, seed, engine, ledger);
    }

    /**
     * Answers a request before its body is read, if the habit says so.
     *
     * @return whether the request was answered
     */
    boolean answerEarly(Request head, Connection connection) throws IOException {
        int length = Integer.parseInt("0" + head.header("Content-Length"));
        if (habit != AnswerHabit.ANSWERS_BEFORE_BODY || length < LONG_BODY_BYTES) {
            return false;
        }
        Random random = random(head.header("Attempt-Id"));
        // The choice for a request that is answered later is drawn again.
        if (random.nextDouble() >= AFFECTED_SHARE) {
            return false;
        }
        Plan plan = plan(head, connection, random, false);
        ledger.countIrregularAnswer();
        writeOwn(plan, connection);
        pause(BODY_DELAY);
        return true;
    }

    /** Runs and answers a request with its complete body; returns whether the connection stays. */
    boolean answer(Request request, Connection connection, Duration runTime) throws IOException {
        Random random = random(request.header("Attempt-Id"));
        if (random.nextDouble() < REFUSAL_SHARE) {
            write(connection, new EngineAnswer(REFUSAL, REFUSAL_HEADERS, "", false).whole());
            return true;
        }
        pause(runTime);
        Plan plan = plan(request, connection, random, random.nextDouble() < AFFECTED_SHARE);
        synchronized (connection) {
            if (plan.affected()) {
                writeAffected(plan, connection);
            } else {
                writeOwn(plan, connection);
            }
            history(connection).answers.add(plan.answer());
        }
        return true;
    }

    private Random random(String id) {
        int arrival = arrivals.merge(id, 1, Integer::sum);
        return new Random(Objects.hash(seed, engine, id, arrival) * 0x9E3779B97F4A7C15L);
    }

    private Plan plan(Request request, Connection connection, Random random, boolean affected) {
        String id = request.header("Attempt-Id");
        int number = ledger.nextRun();
        int first = Integer.parseInt("0" + request.header("Last-Event-Id"));
        String name = id + "|" + engine + "|" + number;
        boolean isStream = !request.header("X-Events").isEmpty();
        boolean isHead = request.method().equals("HEAD");
        String body =
                isStream
                        ? events(name, first + 1, Integer.parseInt(request.header("X-Events")))
                        : name + "|" + "x".repeat(random.nextInt(MAX_PADDING_CHARS));
        boolean fails = affected ? failsIfAffected(random) : random.nextDouble() < FAILURE_SHARE;
        AnsweredRun run =
                new AnsweredRun(
                        id,
                        number,
                        history(connection).number,
                        engine,
                        fails ? FAILURE : SUCCESS,
                        body,
                        first,
                        System.nanoTime());
        ledger.add(run);
        String headers =
                NAME_HEADER
                        + id
                        + "\r\n"
                        + STAMP_HEADER
                        + ("X-Run: " + number + "\r\n")
                        + (isStream ? "Content-Type: text/event-stream\r\n" : "");
        EngineAnswer answer =
                new EngineAnswer(run.status(), headers, fails ? "failed " + name : body, isHead);
        return new Plan(request, run, answer, affected, random);
    }

    private boolean failsIfAffected(Random random) {
        return switch (habit) {
            case FAILS_THEN_SUCCEEDS, FAILS_UNNAMED_THEN_SUCCEEDS, FAILS_UNNAMED -> true;
            case REFUSES_LATE -> false;
            case ANSWERS_HEAD_TWICE -> random.nextBoolean();
            case REPEATS_EARLIER, REPEATS_UNFRAMED, REPEATS_TRUNCATED, ANSWERS_BEFORE_BODY ->
                    random.nextDouble() < FAILURE_SHARE;
        };
    }

    private void writeAffected(Plan plan, Connection connection) throws IOException {
        switch (habit) {
            case REPEATS_EARLIER -> writeWithEarlier(plan, connection);
            case FAILS_THEN_SUCCEEDS -> {
                writeOwn(plan, connection);
                writeLate(plan, connection, plan.success());
            }
            case FAILS_UNNAMED_THEN_SUCCEEDS -> {
                writeIrregular(connection, plan.unnamedFailure().whole());
                writeLate(plan, connection, plan.success());
            }
            case FAILS_UNNAMED -> writeIrregular(connection, plan.unnamedFailure().whole());
            case REPEATS_UNFRAMED -> {
                EngineAnswer earlier = earlier(plan, connection);
                if (earlier != null) {
                    writeIrregular(connection, earlier.unframed());
                }
                writeOwn(plan, connection);
            }
            case REPEATS_TRUNCATED -> {
                EngineAnswer earlier = earlier(plan, connection);
                if (earlier != null) {
                    writeIrregular(connection, earlier.truncated());
                }
                writeOwn(plan, connection);
            }
            case REFUSES_LATE -> {
                writeOwn(plan, connection);
                writeLate(plan, connection, new EngineAnswer(REFUSAL, REFUSAL_HEADERS, "", false));
            }
            case ANSWERS_HEAD_TWICE -> {
                writeOwn(plan, connection);
                if (plan.isHead()) {
                    boolean hasBody = plan.random().nextBoolean();
                    EngineAnswer second =
                            new EngineAnswer(
                                    SUCCESS, plan.answer().headers(), plan.run().body(), !hasBody);
                    writeIrregular(connection, second.whole());
                }
            }
            case ANSWERS_BEFORE_BODY -> writeOwn(plan, connection);
            default -> throw new AssertionError(habit);
        }
    }

    private void writeWithEarlier(Plan plan, Connection connection) throws IOException {
        EngineAnswer earlier = earlier(plan, connection);
        if (earlier == null) {
            writeOwn(plan, connection);
            return;
        }
        switch (plan.random().nextInt(3)) {
            case 0 -> {
                writeIrregular(connection, earlier.whole());
                writeOwn(plan, connection);
            }
            case 1 -> {
                writeOwn(plan, connection);
                writeLate(plan, connection, earlier);
            }
            default -> {
                writeOwn(plan, connection);
                writeIrregular(connection, earlier.whole());
                writeOwn(plan, connection);
            }
        }
    }

    /** Returns an earlier answer of the connection, or null if there is none. */
    private EngineAnswer earlier(Plan plan, Connection connection) {
        List<EngineAnswer> answers = history(connection).answers;
        return answers.isEmpty() ? null : answers.get(plan.random().nextInt(answers.size()));
    }

    private History history(Connection connection) {
        return histories.computeIfAbsent(
                connection, unknown -> new History(connections.incrementAndGet()));
    }

    private void writeOwn(Plan plan, Connection connection) throws IOException {
        synchronized (connection) {
            if (plan.isStream() && plan.run().isSuccess()) {
                writeStream(plan.answer(), connection);
            } else {
                connection.write(plan.answer().whole());
            }
        }
    }

    private static void writeStream(EngineAnswer answer, Connection connection) throws IOException {
        connection.write(answer.chunkedHead());
        for (String event : answer.body().split("(?<=\n\n)")) {
            connection.chunk(event);
            pause(EVENT_INTERVAL);
        }
        connection.write(LAST_CHUNK);
    }

    private void writeLate(Plan plan, Connection connection, EngineAnswer answer) {
        Duration delay = Duration.ofMillis(1 + plan.random().nextInt(MAX_LATE_MS));
        Thread.startVirtualThread(
                () -> {
                    pause(delay);
                    try {
                        writeIrregular(connection, answer.whole());
                    } catch (IOException closedByPeer) {
                        // The gateway may have closed the connection in the meantime.
                        return;
                    }
                });
    }

    private void writeIrregular(Connection connection, String text) throws IOException {
        write(connection, text);
        ledger.countIrregularAnswer();
    }

    private static void write(Connection connection, String text) throws IOException {
        synchronized (connection) {
            connection.write(text);
        }
    }

    private static String events(String name, int first, int last) {
        return IntStream.rangeClosed(first, last)
                .mapToObj(event -> "id: " + event + "\ndata: " + name + "|" + event + "\n\n")
                .collect(Collectors.joining());
    }

    private static void pause(Duration time) {
        try {
            Thread.sleep(time);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
