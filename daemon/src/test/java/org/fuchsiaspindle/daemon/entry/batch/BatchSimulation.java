package org.fuchsiaspindle.daemon.entry.batch;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.fuchsiaspindle.core.batch.BatchJson;
import org.fuchsiaspindle.core.batch.BatchLimits;
import org.fuchsiaspindle.core.batch.JobRecord;
import org.fuchsiaspindle.core.batch.JobRequest;
import org.fuchsiaspindle.core.config.ConfigSnapshot;
import org.fuchsiaspindle.core.contract.Contract;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.core.time.ManualClock;
import org.fuchsiaspindle.daemon.entry.batch.Faults.Fault;
import org.fuchsiaspindle.platform.instance.ListedInstance;
import org.fuchsiaspindle.platform.memory.InMemoryObjects;
import org.fuchsiaspindle.platform.memory.InMemoryTable;

/** A deterministic simulation of entries, agents and callers in one thread with a manual clock. */
final class BatchSimulation {

    static final Contract ONE = BatchFixture.contract("one", 1);
    static final Contract TWO = BatchFixture.contract("two", 1);

    private static final Duration STEP_DURATION = Duration.ofMillis(250);
    private static final Duration PAUSE_DURATION = Duration.ofSeconds(70);
    private static final Duration OUTAGE_DURATION = Duration.ofSeconds(45);
    private static final Duration REPLACEMENT_DELAY = Duration.ofSeconds(5);
    private static final int ENTRIES = 3;
    private static final int AGENTS = 3;
    private static final int MAX_STEPS = 6000;

    private final ManualClock clock = ManualClock.startingAt(Instant.parse("2026-01-01T00:00:00Z"));
    private final InMemoryTable table = InMemoryTable.create();
    private final InMemoryObjects objects = InMemoryObjects.create();
    private final ConfigSnapshot config = BatchFixture.config(ONE, TWO);
    private final ExecutionLog executionLog = new ExecutionLog();
    private final Random random;
    private final long maxUnsavedBytes;
    private final Faults faults;
    private final List<SimEntry> entries = new ArrayList<>();
    private final List<SimAgent> agents = new ArrayList<>();
    private final List<Runnable> nextStepActions = new ArrayList<>();
    private final List<SimEntry> entriesToPause = new ArrayList<>();
    private long tableUpNanos;
    private long objectStoreUpNanos;
    private long nextReplacementNanos;
    private int entriesCreated;
    private boolean readingResults;
    private boolean resultWritesRefused;

    BatchSimulation(long seed, Faults faults) {
        this(seed, faults, BatchLimits.MAX_UNSAVED_BYTES);
    }

    BatchSimulation(long seed, Faults faults, long maxUnsavedBytes) {
        this.maxUnsavedBytes = maxUnsavedBytes;
        this.random = new Random(seed);
        this.faults = faults;
        for (int i = 0; i < AGENTS; i++) {
            agents.add(new SimAgent(this, "agent-" + i));
        }
        for (int i = 0; i < ENTRIES; i++) {
            addEntry();
        }
    }

    long maxUnsavedBytes() {
        return maxUnsavedBytes;
    }

    ManualClock clock() {
        return clock;
    }

    InMemoryTable table() {
        return table;
    }

    InMemoryObjects objects() {
        return objects;
    }

    ConfigSnapshot config() {
        return config;
    }

    ExecutionLog executionLog() {
        return executionLog;
    }

    Faults faults() {
        return faults;
    }

    List<SimEntry> entries() {
        return List.copyOf(entries);
    }

    List<SimAgent> agents() {
        return List.copyOf(agents);
    }

    boolean isReadingResults() {
        return readingResults;
    }

    boolean areResultWritesRefused() {
        return resultWritesRefused;
    }

    /** Makes the object store refuse writes of results but not reads. */
    void setResultWritesRefused(boolean value) {
        resultWritesRefused = value;
    }

    boolean isTableDown() {
        return clock.nanoTime() < tableUpNanos;
    }

    boolean isObjectStoreDown() {
        return clock.nanoTime() < objectStoreUpNanos;
    }

    /** All entries share the simulated table, so an outage affects every other entry as well. */
    boolean isOutageReportedByPeers(SimEntry entry) {
        long others = entries.stream().filter(e -> e != entry && e.isUsable()).count();
        return others > 0 && isTableDown();
    }

    ImmutableList<ListedInstance> instances() {
        ImmutableList.Builder<ListedInstance> instances = ImmutableList.builder();
        entries.stream()
                .filter(entry -> !entry.isCrashed())
                .forEach(
                        entry ->
                                instances.add(
                                        listed(
                                                entry.id(),
                                                ListedInstance.Role.ENTRY,
                                                ListedInstance.TargetKind.NONE)));
        agents.forEach(
                agent ->
                        instances.add(
                                listed(
                                        agent.id(),
                                        ListedInstance.Role.AGENT,
                                        ListedInstance.TargetKind.ENGINE)));
        return instances.build();
    }

    private static ListedInstance listed(
            String id, ListedInstance.Role role, ListedInstance.TargetKind kind) {
        return new ListedInstance(
                id,
                role,
                InetSocketAddress.createUnresolved("127.0.0.1", 1),
                "dc-1",
                "region-1",
                false,
                kind,
                kind == ListedInstance.TargetKind.NONE ? "" : id);
    }

    SimEntry addEntry() {
        SimEntry entry =
                new SimEntry(this, "entry-" + entriesCreated, new Random(random.nextLong()));
        entriesCreated++;
        entries.add(entry);
        return entry;
    }

    void takeTableDown(Duration outage) {
        tableUpNanos = clock.nanoTime() + outage.toNanos();
    }

    /**
     * Injects a fault within a call of an entry; whether the call takes effect before a crash or a
     * pause is random.
     */
    void injectWithinCall(Fault fault, SimEntry entry, Runnable effect) {
        switch (fault) {
            case PROCESS_CRASH -> {
                runWithHalfProbability(effect);
                throw new ProcessCrashedError();
            }
            case PAUSE_BEYOND_LEASE -> {
                runWithHalfProbability(effect);
                pause(entry);
            }
            case TABLE_DOWN -> takeTableDown(OUTAGE_DURATION);
            case OBJECT_STORE_DOWN ->
                    objectStoreUpNanos = clock.nanoTime() + OUTAGE_DURATION.toNanos();
            default -> {
                // The calling code loses or repeats the message.
            }
        }
    }

    /** Injects a fault into an entry in the next step or, for outages, at once. */
    void injectInNextStep(Fault fault, SimEntry entry) {
        switch (fault) {
            case PROCESS_CRASH -> nextStepActions.add(entry::crash);
            case PAUSE_BEYOND_LEASE -> entriesToPause.add(entry);
            default -> injectWithinCall(fault, entry, () -> {});
        }
    }

    /** Runs an effect with probability 1/2; the sender does not learn whether it was run. */
    void runWithHalfProbability(Runnable effect) {
        if (random.nextBoolean()) {
            effect.run();
        }
    }

    /** Delivers a lost request in the next step with probability 1/2, otherwise never. */
    void deliverInNextStepWithHalfProbability(Runnable action) {
        if (random.nextBoolean()) {
            nextStepActions.add(
                    () -> {
                        try {
                            action.run();
                        } catch (FuchsiaspindleException e) {
                            // The row has changed since the request was sent.
                        }
                    });
        }
    }

    private void pause(SimEntry entry) {
        entry.setPaused(true);
        entry.disconnect();
        advance(PAUSE_DURATION);
        entry.setPaused(false);
    }

    void step() {
        clock.advance(STEP_DURATION);
        List<Runnable> due = List.copyOf(nextStepActions);
        nextStepActions.clear();
        due.forEach(Runnable::run);
        List<SimEntry> pausing = List.copyOf(entriesToPause);
        entriesToPause.clear();
        pausing.stream().filter(SimEntry::isUsable).forEach(this::pause);
        agents().forEach(SimAgent::step);
        entries().stream().filter(SimEntry::isUsable).forEach(SimEntry::step);
        replaceCrashedEntries();
    }

    void advance(Duration duration) {
        long end = clock.nanoTime() + duration.toNanos();
        while (clock.nanoTime() < end) {
            step();
        }
    }

    void runUntil(BooleanSupplier condition) {
        for (int i = 0; !condition.getAsBoolean(); i++) {
            assertThat(i)
                    .as("steps until the condition holds; injected faults: %s", faults.injected())
                    .isLessThan(MAX_STEPS);
            step();
        }
    }

    private void replaceCrashedEntries() {
        boolean isEntryMissing =
                entries.stream().filter(entry -> !entry.isCrashed()).count() < ENTRIES;
        if (!isEntryMissing) {
            nextReplacementNanos = clock.nanoTime() + REPLACEMENT_DELAY.toNanos();
        } else if (clock.nanoTime() >= nextReplacementNanos) {
            addEntry();
        }
    }

    /** Replaces all entries, as happens over weeks of operation. */
    void replaceAllEntries() {
        entries.forEach(SimEntry::crash);
        for (int i = 0; i < ENTRIES; i++) {
            addEntry();
        }
    }

    /** Sends a caller's request to random entries until one responds successfully. */
    <T> T request(Function<BatchComponent, T> action) {
        while (true) {
            List<SimEntry> usable = entries.stream().filter(SimEntry::isUsable).toList();
            if (!usable.isEmpty()) {
                SimEntry entry = usable.get(random.nextInt(usable.size()));
                List<T> result = new ArrayList<>();
                try {
                    entry.run(() -> result.add(action.apply(entry.component())));
                } catch (FuchsiaspindleException e) {
                    assertThat(e.code().httpStatus()).as(e.toString()).isEqualTo(503);
                }
                if (!result.isEmpty() && entry.isUsable()) {
                    return result.getFirst();
                }
            }
            step();
        }
    }

    String upload(Contract contract, String lines) {
        return request(
                component -> {
                    FileStore.Upload upload = component.files().begin(contract);
                    upload.parts().write(ByteBuffer.wrap(lines.getBytes(StandardCharsets.UTF_8)));
                    upload.parts().finish();
                    return component.files().commit(upload, contract, "in.jsonl").id();
                });
    }

    JobRecord submit(Contract contract, String file, String window, String key) {
        JobRequest request = new JobRequest(file, BatchFixture.CHAT, window, Map.of());
        return request(
                component -> {
                    JobRecord job = component.jobs().submit(contract, request, Optional.of(key));
                    component.notifyAccepted(job);
                    return job;
                });
    }

    /** Cancels a job; returns false if the request was refused because the job has ended. */
    boolean cancel(Contract contract, String job) {
        return request(
                component -> {
                    try {
                        JobRecord cancelled = component.jobs().cancel(contract.customer(), job);
                        component.notifyCancelled(cancelled);
                        return true;
                    } catch (FuchsiaspindleException e) {
                        if (e.code() == ResultCode.JOB_FINISHED) {
                            return false;
                        }
                        throw e;
                    }
                });
    }

    /** Returns the stored record of a job; the read is not subject to faults. */
    JobRecord job(String id) {
        return table.read("job/" + id)
                .map(row -> BatchJson.read(row.value(), JobRecord.class))
                .orElseThrow();
    }

    /** Reads a result file through any entry. */
    List<String> read(JobRecord job, ResultFile.Kind kind) {
        readingResults = true;
        String content =
                request(
                        component -> {
                            ByteArrayOutputStream out = new ByteArrayOutputStream();
                            try {
                                component.results().copy(new ResultFile(job, kind), out);
                            } catch (IOException e) {
                                throw new UncheckedIOException(e);
                            }
                            return out.toString(StandardCharsets.UTF_8);
                        });
        readingResults = false;
        return content.lines().toList();
    }
}
