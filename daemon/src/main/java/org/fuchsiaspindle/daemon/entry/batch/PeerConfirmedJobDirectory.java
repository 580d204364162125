package org.fuchsiaspindle.daemon.entry.batch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.fuchsiaspindle.core.time.Clock;

/**
 * A directory that reads the table only if no peer has confirmed its version recently.
 *
 * <p>Two entries per data centre read the head row each second and report its version and the age
 * of that read to the others. Without this, 400 entries would make 400 reads a second in an idle
 * fleet. Thread-safe.
 */
public final class PeerConfirmedJobDirectory implements JobDirectory {

    /** Maximum age of a confirmation by a peer that replaces a read by this entry. */
    private static final Duration MAX_PEER_AGE = Duration.ofSeconds(2);

    private final JobDirectory table;
    private final BooleanSupplier isReader;
    private final Supplier<List<Confirmation>> peers;
    private final Clock clock;
    private final AtomicBoolean refreshing = new AtomicBoolean();

    /**
     * A peer's report of the directory version.
     *
     * @param version the version of the head row
     * @param confirmedNanos monotonic time of this process by which the table had confirmed the
     *     version
     */
    public record Confirmation(long version, long confirmedNanos) {}

    private PeerConfirmedJobDirectory(
            JobDirectory table,
            BooleanSupplier isReader,
            Supplier<List<Confirmation>> peers,
            Clock clock) {
        this.table = checkNotNull(table, "table");
        this.isReader = checkNotNull(isReader, "isReader");
        this.peers = checkNotNull(peers, "peers");
        this.clock = checkNotNull(clock, "clock");
    }

    /**
     * Creates a directory.
     *
     * @param table directory that reads the table
     * @param isReader returns true if this entry is one of those that read on behalf of the others
     * @param peers returns the last reports of the connected entries; must not block
     * @param clock the clock
     */
    public static PeerConfirmedJobDirectory create(
            JobDirectory table,
            BooleanSupplier isReader,
            Supplier<List<Confirmation>> peers,
            Clock clock) {
        return new PeerConfirmedJobDirectory(table, isReader, peers, clock);
    }

    @Override
    public Snapshot current() {
        Snapshot own = table.current();
        if (!own.confirmed()) {
            return own;
        }
        Optional<Confirmation> confirmation = newestConfirmation(own.version(), own.version());
        if (confirmation.isEmpty()
                || confirmation.get().confirmedNanos() - own.confirmedNanos() <= 0) {
            return own;
        }
        return new Snapshot(own.version(), confirmation.get().confirmedNanos(), true, own.jobs());
    }

    @Override
    public void refresh() {
        Snapshot own = table.current();
        if (own.confirmed() && !isReader.getAsBoolean() && isConfirmedByPeers(own.version())) {
            return;
        }
        table.refresh();
    }

    /** Returns true if a peer has reported a newer version, which {@link #refresh} would read. */
    public boolean isBehind() {
        return newestConfirmation(table.current().version() + 1, Long.MAX_VALUE).isPresent();
    }

    /** Reads the table if a peer has reported a newer version and no such read is under way. */
    public void catchUp() {
        if (!isBehind() || !refreshing.compareAndSet(false, true)) {
            return;
        }
        try {
            table.refresh();
        } finally {
            refreshing.set(false);
        }
    }

    private boolean isConfirmedByPeers(long version) {
        return !isBehind()
                && newestConfirmation(version, version)
                        .filter(
                                confirmation ->
                                        clock.nanoTime() - confirmation.confirmedNanos()
                                                <= MAX_PEER_AGE.toNanos())
                        .isPresent();
    }

    private Optional<Confirmation> newestConfirmation(long minVersion, long maxVersion) {
        Confirmation newest = null;
        for (Confirmation confirmation : peers.get()) {
            boolean matches =
                    confirmation.version() >= minVersion && confirmation.version() <= maxVersion;
            if (matches
                    && (newest == null
                            || confirmation.confirmedNanos() - newest.confirmedNanos() > 0)) {
                newest = confirmation;
            }
        }
        return Optional.ofNullable(newest);
    }
}
