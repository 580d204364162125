package org.fuchsiaspindle.gateway.watch;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import org.fuchsiaspindle.gateway.view.FleetViewHolder;
import org.fuchsiaspindle.platform.discovery.ConfigDecoder;
import org.fuchsiaspindle.platform.store.StoreClient;
import org.fuchsiaspindle.platform.store.StoredRow;

/** Watches the operator's configuration in the store and publishes new versions. */
public final class ConfigWatch {

    /** Short enough to detect a dead connection before a change must be in force. */
    private static final Duration LONG_POLL_TIMEOUT = Duration.ofMillis(1000);

    private final FleetViewHolder viewHolder;

    private ConfigWatch(FleetViewHolder viewHolder) {
        this.viewHolder = viewHolder;
    }

    /** Starts to watch the configuration. */
    public static TableWatch start(
            EventLoop loop, StoreClient store, StoreHealth health, FleetViewHolder viewHolder) {
        ConfigWatch watch = new ConfigWatch(viewHolder);
        TableWatch.Options watchOptions =
                new TableWatch.Options(
                        ConfigDecoder.TABLE, false, LONG_POLL_TIMEOUT, Duration.ZERO);
        return TableWatch.start(
                loop, store, health, watchOptions, (rows, version) -> watch.offerRows(rows));
    }

    private void offerRows(List<StoredRow> rows) {
        for (StoredRow row : rows) {
            boolean isConfig =
                    row.key().key().equals(ConfigDecoder.KEY) && row.key().partition().isEmpty();
            if (isConfig && !row.deleted()) {
                viewHolder.offerConfig(row.value(), "store");
            }
        }
    }
}
