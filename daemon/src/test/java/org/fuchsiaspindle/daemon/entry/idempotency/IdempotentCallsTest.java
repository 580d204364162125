package org.fuchsiaspindle.daemon.entry.idempotency;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsiaspindle.core.error.Executed;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.idempotency.StoredResponse;
import org.fuchsiaspindle.core.time.ManualClock;
import org.fuchsiaspindle.daemon.fleet.FakeDirectory;
import org.fuchsiaspindle.daemon.fleet.FaultyTable;
import org.fuchsiaspindle.platform.instance.ListedInstance;
import org.fuchsiaspindle.platform.memory.InMemoryObjects;
import org.fuchsiaspindle.platform.memory.InMemoryTable;
import org.fuchsiaspindle.platform.table.TableService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against repeated runs of calls with an idempotency key, with lost responses of the table
 * and with several entries.
 */
final class IdempotentCallsTest {

    private static final CallKey KEY = key("key-1", "content");
    private static final int MAX_RUN_ATTEMPTS = 40;

    private final FaultyTable table = new FaultyTable();
    private final InMemoryObjects objects = InMemoryObjects.create();
    private final FakeDirectory directory = new FakeDirectory();
    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
    private final AtomicInteger runs = new AtomicInteger();
    private final List<IdempotentCalls> allEntries = new ArrayList<>();
    private final IdempotentCalls first = entry("entry-1", "1", table);
    private final IdempotentCalls second = entry("entry-2", "1", table);

    @AfterEach
    void close() {
        allEntries.forEach(IdempotentCalls::close);
    }

    @Test
    void repeatedKey_getsTheStoredResponseAtEveryEntry() {
        StoredResponse response = first.run(KEY, this::success);
        for (IdempotentCalls entry : List.of(first, second)) {
            StoredResponse repeated = entry.run(KEY, this::success);
            assertThat(repeated.status()).isEqualTo(201);
            assertThat(repeated.headers()).isEqualTo(response.headers());
            assertThat(repeated.body()).isEqualTo(response.body());
        }
        assertThat(runs).hasValue(1);
    }

    @Test
    void largeResponse_isStoredInTheObjectStore() {
        byte[] body = new byte[200_000];
        new SplittableRandom(1).nextBytes(body);
        first.run(KEY, () -> new StoredResponse(200, ImmutableList.of(), body));
        assertThat(second.run(KEY, this::success).body()).isEqualTo(body);
        assertThat(table.read(KEY.rowKey()).orElseThrow().value().length).isLessThan(2000);
        assertThat(runs).hasValue(0);
    }

    @Test
    void sameKeyWithOtherContent_isAConflict() {
        first.run(KEY, this::success);
        assertRefused(second, key("key-1", "other"), ResultCode.IDEMPOTENCY_CONFLICT, Executed.NO);
        assertThat(key("key-1", "content").rowKey()).isNotEqualTo(key("key-2", "content").rowKey());
        assertThat(runs).hasValue(1);
    }

    @Test
    void repeatedKeyWhileTheFirstCallRuns_isRefusedAndLaterGetsTheResponse() throws Exception {
        CountDownLatch running = new CountDownLatch(1);
        CountDownLatch finish = new CountDownLatch(1);
        Thread caller =
                Thread.startVirtualThread(
                        () ->
                                first.run(
                                        KEY,
                                        () -> {
                                            running.countDown();
                                            await(finish);
                                            return success();
                                        }));
        assertThat(running.await(20, TimeUnit.SECONDS)).isTrue();
        assertRefused(second, KEY, ResultCode.IDEMPOTENCY_IN_PROGRESS, Executed.UNKNOWN);
        finish.countDown();
        caller.join();
        assertThat(second.run(KEY, this::success).status()).isEqualTo(201);
        assertThat(runs).hasValue(1);
    }

    @ParameterizedTest
    @EnumSource(FaultyTable.CommitFault.class)
    void lostResponseToTheFirstWrite_neverLeadsToASecondRun(FaultyTable.CommitFault fault) {
        table.faultNextCommit(fault);
        assertThat(first.run(KEY, this::success).status()).isEqualTo(201);
        assertThat(second.run(KEY, this::success).status()).isEqualTo(201);
        assertThat(runs).hasValue(1);
    }

    @ParameterizedTest
    @EnumSource(FaultyTable.CommitFault.class)
    void lostResponseToTheLastWrite_doesNotLoseTheStoredResponse(FaultyTable.CommitFault fault) {
        first.run(
                KEY,
                () -> {
                    table.faultNextCommit(fault);
                    return success();
                });
        assertThat(second.run(KEY, this::success).status()).isEqualTo(201);
        assertThat(runs).hasValue(1);
    }

    @Test
    void lateWriteOfACallThatWasNotSent_permitsOneRunAtAnyEntry() {
        table.delayNextCommitByReads(1);
        table.setDownAfterNextCommit();
        assertRefused(first, KEY, ResultCode.TABLE_UNAVAILABLE, Executed.NO);
        table.setDown(false);
        assertThat(table.read(KEY.rowKey())).isEmpty();
        assertThat(table.read(KEY.rowKey())).isPresent();
        assertThat(runs).hasValue(0);
        assertThat(runEventually(second).status()).isEqualTo(201);
        assertThat(first.run(KEY, this::success).status()).isEqualTo(201);
        assertThat(runs).hasValue(1);
    }

    /**
     * Guards against a refusal that reports a call as not executed although its first run was
     * executed.
     */
    @Test
    void repeatedKeyDuringAnOutage_isReportedAsPossiblyExecuted() {
        first.run(KEY, this::success);
        table.setDown(true);
        assertRefused(first, KEY, ResultCode.TABLE_UNAVAILABLE, Executed.UNKNOWN);
        assertRefused(first, key("key-2", "content"), ResultCode.TABLE_UNAVAILABLE, Executed.NO);
        assertThat(runs).hasValue(1);
    }

    @Test
    void tableDown_refusesTheCallWithoutRunningIt() {
        table.setDown(true);
        assertRefused(first, KEY, ResultCode.TABLE_UNAVAILABLE, Executed.NO);
        assertThat(runs).hasValue(0);
        table.setDown(false);
        assertThat(first.run(KEY, this::success).status()).isEqualTo(201);
    }

    @Test
    void unknownOutcome_isReportedAndNeverRunAgain() {
        assertThatThrownBy(() -> first.run(KEY, () -> fail(Executed.UNKNOWN)))
                .isInstanceOf(FuchsiaspindleException.class);
        assertRefused(second, KEY, ResultCode.IDEMPOTENCY_OUTCOME_UNKNOWN, Executed.UNKNOWN);
        assertRefused(first, KEY, ResultCode.IDEMPOTENCY_OUTCOME_UNKNOWN, Executed.UNKNOWN);
        assertThat(runs).hasValue(1);
    }

    @Test
    void callThatDidNotRun_mayBeRepeated() {
        assertThatThrownBy(() -> first.run(KEY, () -> fail(Executed.NO)))
                .isInstanceOf(FuchsiaspindleException.class);
        assertThat(second.run(KEY, this::success).status()).isEqualTo(201);
        assertThat(first.run(KEY, this::success).status()).isEqualTo(201);
        assertThat(runs).hasValue(2);
    }

    @Test
    void entryReplacedDuringTheCall_leavesTheOutcomeUnknown() {
        assertThatThrownBy(
                        () ->
                                first.run(
                                        KEY,
                                        () -> {
                                            table.setDown(true);
                                            throw new IllegalStateException(
                                                    "simulated end of the process");
                                        }))
                .isInstanceOf(IllegalStateException.class);
        first.close();
        table.setDown(false);
        IdempotentCalls replacement = entry("entry-1", "2", table);
        assertRefused(replacement, KEY, ResultCode.IDEMPOTENCY_OUTCOME_UNKNOWN, Executed.UNKNOWN);
        assertThat(runs).hasValue(0);
    }

    @Test
    void responseDuringAnOutage_isStoredOnceTheTableIsAvailable() {
        first.run(
                KEY,
                () -> {
                    table.setDown(true);
                    return success();
                });
        table.setDown(false);
        assertThat(runEventually(second).status()).isEqualTo(201);
        assertThat(runs).hasValue(1);
    }

    @Test
    void entriesRacingWithTheSameKey_runTheCallOnce() throws Exception {
        InMemoryTable shared = InMemoryTable.create();
        List<IdempotentCalls> entries = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            entries.add(entry("entry-" + (10 + i), "1", shared));
        }
        for (int round = 0; round < 50; round++) {
            CallKey key = key("race-" + round, "content");
            AtomicInteger runsInRound = new AtomicInteger();
            List<String> bodies = new CopyOnWriteArrayList<>();
            List<Thread> threads = new ArrayList<>();
            for (IdempotentCalls entry : entries) {
                threads.add(
                        Thread.startVirtualThread(
                                () -> {
                                    StoredResponse response =
                                            entry.run(
                                                    key,
                                                    () -> {
                                                        runsInRound.incrementAndGet();
                                                        return success();
                                                    });
                                    bodies.add(new String(response.body(), StandardCharsets.UTF_8));
                                }));
            }
            for (Thread thread : threads) {
                thread.join();
            }
            assertThat(runsInRound).hasValue(1);
            assertThat(bodies).hasSize(entries.size());
            assertThat(bodies.stream().distinct()).hasSize(1);
        }
    }

    /**
     * Retries while the first call is in progress, because its final state is written in the
     * background.
     */
    private StoredResponse runEventually(IdempotentCalls entry) {
        for (int i = 0; i < MAX_RUN_ATTEMPTS; i++) {
            try {
                return entry.run(KEY, this::success);
            } catch (FuchsiaspindleException e) {
                assertThat(e.code()).isEqualTo(ResultCode.IDEMPOTENCY_IN_PROGRESS);
            }
        }
        throw new AssertionError("the first call is still in progress");
    }

    private StoredResponse success() {
        int run = runs.incrementAndGet();
        return new StoredResponse(
                201,
                ImmutableList.of(new StoredResponse.Header("Location", "/orders/" + run)),
                ("run " + run).getBytes(StandardCharsets.UTF_8));
    }

    private StoredResponse fail(Executed executed) {
        runs.incrementAndGet();
        throw new FuchsiaspindleException(ResultCode.TARGET_LOST, "lost").withExecuted(executed);
    }

    private void assertRefused(
            IdempotentCalls entry, CallKey key, ResultCode code, Executed executed) {
        assertThatThrownBy(() -> entry.run(key, this::success))
                .isInstanceOfSatisfying(
                        FuchsiaspindleException.class,
                        e -> {
                            assertThat(e.code()).isEqualTo(code);
                            assertThat(e.executed()).isEqualTo(executed);
                        });
    }

    private IdempotentCalls entry(String id, String incarnation, TableService entryTable) {
        directory.list(
                new ListedInstance(
                        id,
                        ListedInstance.Role.ENTRY,
                        new InetSocketAddress("127.0.0.1", 1),
                        "dc-1",
                        "region-1",
                        false,
                        ListedInstance.TargetKind.NONE,
                        ""));
        IdempotentCalls calls =
                IdempotentCalls.create(
                        entryTable,
                        objects,
                        directory,
                        new EntryIdentity(id, incarnation),
                        clock,
                        new SecureRandom());
        allEntries.add(calls);
        return calls;
    }

    private static CallKey key(String idempotencyKey, String content) {
        return CallKey.of(
                "customer-1",
                "orders",
                idempotencyKey,
                "POST",
                "/new",
                content.getBytes(StandardCharsets.UTF_8),
                Duration.ofSeconds(30));
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
