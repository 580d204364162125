package org.fuchsiaspindle.gateway.watch;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fuchsiaspindle.core.serving.TargetInstance;
import org.fuchsiaspindle.gateway.view.FleetViewHolder;
import org.fuchsiaspindle.gateway.view.TargetDirectory;
import org.fuchsiaspindle.platform.discovery.TargetDecoder;
import org.fuchsiaspindle.platform.store.StoreClient;
import org.fuchsiaspindle.platform.store.StoredRow;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches the registrations of targets in the store and publishes the target directory.
 *
 * <p>Registrations expire while the store is unavailable, and targets renew them within about two
 * seconds of its recovery. A registration that disappears around an outage is therefore kept for
 * that long; one that disappears at another time is removed at once. Confined to its event loop.
 */
public final class TargetWatch implements TableWatch.Listener {

    private static final Logger LOG = LoggerFactory.getLogger(TargetWatch.class);

    private static final Duration LONG_POLL_TIMEOUT = Duration.ofMillis(1000);

    /**
     * Heartbeats of targets end each long poll early, so only this pause bounds the rate of calls.
     */
    private static final Duration POLL_PAUSE = Duration.ofMillis(450);

    /** Time after a recovery of the store within which targets renew expired registrations. */
    private static final Duration RENEWAL_GRACE = Duration.ofMillis(2200);

    private final EventLoop loop;
    private final StoreHealth health;
    private final FleetViewHolder viewHolder;
    private final Map<String, TargetInstance> targets = new HashMap<>();
    private final Set<String> missingIds = new HashSet<>();
    private long version;

    private TargetWatch(EventLoop loop, StoreHealth health, FleetViewHolder viewHolder) {
        this.loop = loop;
        this.health = health;
        this.viewHolder = viewHolder;
    }

    /** Starts to watch the registrations. */
    public static TableWatch start(
            EventLoop loop, StoreClient store, StoreHealth health, FleetViewHolder viewHolder) {
        TableWatch.Options options =
                new TableWatch.Options(TargetDecoder.TABLE, false, LONG_POLL_TIMEOUT, POLL_PAUSE);
        TargetWatch watch =
                new TargetWatch(
                        checkNotNull(loop, "loop"),
                        checkNotNull(health, "health"),
                        checkNotNull(viewHolder, "viewHolder"));
        return TableWatch.start(loop, store, health, options, watch);
    }

    @Override
    public void onContent(List<StoredRow> rows, long newVersion) {
        if (targets.isEmpty()) {
            registrations(rows).forEach(this::register);
            // One line, because a process that has just started can't afford one per target.
            LOG.info("discovery: targets known count={}", targets.size());
        } else {
            updateAll(registrations(rows));
        }
        publish(newVersion);
    }

    private void updateAll(List<StoredRow> registrations) {
        Set<String> removed = new HashSet<>(targets.keySet());
        for (StoredRow row : registrations) {
            removed.remove(row.key().key());
            registerAndLog(row);
        }
        removed.forEach(this::unregister);
    }

    @Override
    public void onChanges(List<StoredRow> rows, long newVersion) {
        for (StoredRow row : registrations(rows)) {
            if (row.deleted()) {
                unregister(row.key().key());
            } else {
                registerAndLog(row);
            }
        }
        publish(newVersion);
    }

    /** Returns the rows that describe targets; those of other partitions describe none. */
    private static List<StoredRow> registrations(List<StoredRow> rows) {
        return rows.stream().filter(row -> row.key().partition().isEmpty()).toList();
    }

    private void registerAndLog(StoredRow row) {
        TargetInstance previous = targets.get(row.key().key());
        register(row);
        TargetInstance current = targets.get(row.key().key());
        if (current != null) {
            logChange(previous, current);
        }
    }

    private void register(StoredRow row) {
        String id = row.key().key();
        missingIds.remove(id);
        TargetDecoder.decode(id, row.value())
                .ifPresentOrElse(target -> targets.put(id, target), () -> targets.remove(id));
    }

    private static void logChange(TargetInstance previous, TargetInstance target) {
        if (previous == null || previous.leaving() != target.leaving()) {
            LOG.info(
                    "discovery: target={} service={} address={} zone={} leaving={}",
                    target.id(),
                    target.service(),
                    target.address(),
                    target.dataCentre(),
                    target.leaving());
        }
    }

    private void unregister(String id) {
        if (!targets.containsKey(id) || missingIds.contains(id)) {
            return;
        }
        if (health.isUnreachableOrRecovering(RENEWAL_GRACE)) {
            missingIds.add(id);
            LOG.info("discovery: expired registration kept after a store outage target={}", id);
            loop.schedule(
                    () -> removeIfMissing(id), RENEWAL_GRACE.toMillis(), TimeUnit.MILLISECONDS);
        } else {
            removeTarget(id);
        }
    }

    private void removeIfMissing(String id) {
        if (missingIds.remove(id)) {
            removeTarget(id);
            publish(version + 1);
        }
    }

    private void removeTarget(String id) {
        targets.remove(id);
        LOG.info("discovery: target removed target={}", id);
    }

    private void publish(long newVersion) {
        version = Math.max(version, newVersion);
        viewHolder.offerDirectory(TargetDirectory.of(version, targets));
    }
}
