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

/** Entries, agents and callers in one thread under a manual clock. */
final class BatchSimulation {

    static final Contract ONE = BatchFixture.contract("one", 1);
    static final Contract TWO = BatchFixture.contract("two", 1);

    private static final Duration STEP = Duration.ofMillis(250);
    private static final Duration PAUSE = Duration.ofSeconds(70);
    private static final Duration OUTAGE = Duration.ofSeconds(45);
    private static final Duration REPLACEMENT = Duration.ofSeconds(5);
    private static final int ENTRIES = 3;
    private static final int AGENTS = 3;
    private static final int MAX_STEPS = 6000;

    private final ManualClock clock = ManualClock.startingAt(Instant.parse("2026-01-01T00:00:00Z"));
    private final InMemoryTable table = InMemoryTable.create();
    private final InMemoryObjects objects = InMemoryObjects.create();
    private final ConfigSnapshot config = BatchFixture.config(ONE, TWO);
    private final Ledger ledger = new Ledger();
    private final Random random;
    private final long maxUnsavedBytes;
    private final Faults faults;
    private final List<SimEntry> entries = new ArrayList<>();
    private final List<SimAgent> agents = new ArrayList<>();
    private final List<Runnable> later = new ArrayList<>();
    private final List<SimEntry> toPause = new ArrayList<>();
    private long tableUpNanos;
    private long objectsUpNanos;
    private long replacementNanos;
    private int created;
    private boolean reading;
    private boolean resultsRefused;

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

    Ledger ledger() {
        return ledger;
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

    boolean isReading() {
        return reading;
    }

    boolean areResultsRefused() {
        return resultsRefused;
    }

    /** Lets the object store refuse results although it can be read. */
    void setResultsRefused(boolean value) {
        resultsRefused = value;
    }

    boolean isTableDown() {
        return clock.nanoTime() < tableUpNanos;
    }

    boolean areObjectsDown() {
        return clock.nanoTime() < objectsUpNanos;
    }

    /** Every entry sees the same table here, so the others lack it when it is down. */
    boolean othersLackTable(SimEntry entry) {
        long others = entries.stream().filter(e -> e != entry && e.isUsable()).count();
        return others > 0 && isTableDown();
    }

    ImmutableList<ListedInstance> instances() {
        ImmutableList.Builder<ListedInstance> instances = ImmutableList.builder();
        entries.stream()
                .filter(entry -> !entry.isDead())
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
        SimEntry entry = new SimEntry(this, "entry-" + created, new Random(random.nextLong()));
        created++;
        entries.add(entry);
        return entry;
    }

    void takeTableDown(Duration outage) {
        tableUpNanos = clock.nanoTime() + outage.toNanos();
    }

    /** Lets a fault strike within a call of an entry; the call's own effect may come first. */
    void strikeAround(Fault fault, SimEntry entry, Runnable effect) {
        switch (fault) {
            case PROCESS_DIES -> {
                deliverMaybe(effect);
                throw new ProcessDiedError();
            }
            case PAUSED_PAST_LEASE -> {
                deliverMaybe(effect);
                pause(entry);
            }
            case TABLE_DOWN -> takeTableDown(OUTAGE);
            case OBJECT_STORE_DOWN -> objectsUpNanos = clock.nanoTime() + OUTAGE.toNanos();
            default -> {
                // The caller loses or repeats the message itself.
            }
        }
    }

    /** Lets a fault strike an entry at the end of the present step. */
    void strikeLater(Fault fault, SimEntry entry) {
        switch (fault) {
            case PROCESS_DIES -> later.add(entry::die);
            case PAUSED_PAST_LEASE -> toPause.add(entry);
            default -> strikeAround(fault, entry, () -> {});
        }
    }

    /** Makes an effect that the sender will not learn of, or not, by chance. */
    void deliverMaybe(Runnable effect) {
        if (random.nextBoolean()) {
            effect.run();
        }
    }

    /** Lets a lost request arrive in the next step, or never, by chance. */
    void maybeLater(Runnable action) {
        if (random.nextBoolean()) {
            later.add(
                    () -> {
                        try {
                            action.run();
                        } catch (FuchsiaspindleException e) {
                            // The late request found the row changed.
                        }
                    });
        }
    }

    private void pause(SimEntry entry) {
        entry.setPaused(true);
        entry.disconnect();
        advance(PAUSE);
        entry.setPaused(false);
    }

    void step() {
        clock.advance(STEP);
        List<Runnable> due = List.copyOf(later);
        later.clear();
        due.forEach(Runnable::run);
        List<SimEntry> pausing = List.copyOf(toPause);
        toPause.clear();
        pausing.stream().filter(SimEntry::isUsable).forEach(this::pause);
        agents().forEach(SimAgent::step);
        entries().stream().filter(SimEntry::isUsable).forEach(SimEntry::step);
        replaceDead();
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
                    .as("steps until the condition holds; struck: %s", faults.struck())
                    .isLessThan(MAX_STEPS);
            step();
        }
    }

    private void replaceDead() {
        boolean missing = entries.stream().filter(entry -> !entry.isDead()).count() < ENTRIES;
        if (!missing) {
            replacementNanos = clock.nanoTime() + REPLACEMENT.toNanos();
        } else if (clock.nanoTime() >= replacementNanos) {
            addEntry();
        }
    }

    /** Replaces every entry, as over weeks of operation. */
    void replaceAllEntries() {
        entries.forEach(SimEntry::die);
        for (int i = 0; i < ENTRIES; i++) {
            addEntry();
        }
    }

    /** Makes a caller's request at any entry until it is answered. */
    <T> T request(Function<BatchComponent, T> action) {
        while (true) {
            List<SimEntry> usable = entries.stream().filter(SimEntry::isUsable).toList();
            if (!usable.isEmpty()) {
                SimEntry entry = usable.get(random.nextInt(usable.size()));
                List<T> answer = new ArrayList<>();
                try {
                    entry.run(() -> answer.add(action.apply(entry.component())));
                } catch (FuchsiaspindleException e) {
                    assertThat(e.code().httpStatus()).as(e.toString()).isEqualTo(503);
                }
                if (!answer.isEmpty() && entry.isUsable()) {
                    return answer.getFirst();
                }
            }
            step();
        }
    }

    String upload(Contract contract, String lines) {
        return request(
                component -> {
                    FileStore.Incoming incoming = component.files().begin(contract);
                    incoming.parts().write(ByteBuffer.wrap(lines.getBytes(StandardCharsets.UTF_8)));
                    incoming.parts().finish();
                    return component.files().commit(incoming, contract, "in.jsonl").id();
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

    /** Cancels a job; returns false if the caller was told that it has ended. */
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

    /** Returns a job as callers see it; it is read without faults. */
    JobRecord job(String id) {
        return table.read("job/" + id)
                .map(row -> BatchJson.read(row.value(), JobRecord.class))
                .orElseThrow();
    }

    /** Reads a result file through any entry. */
    List<String> read(JobRecord job, ResultFile.Kind kind) {
        reading = true;
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
        reading = false;
        return content.lines().toList();
    }
}
