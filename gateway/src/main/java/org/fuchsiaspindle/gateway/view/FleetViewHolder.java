package org.fuchsiaspindle.gateway.view;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.serving.ServingConfig;
import org.fuchsiaspindle.platform.discovery.ConfigDecoder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds the current view; only newer versions replace its configuration and its directory.
 *
 * <p>Thread-safe: readers take the view from an atomic reference, writers replace it as a whole.
 */
public final class FleetViewHolder {

    private static final Logger LOG = LoggerFactory.getLogger(FleetViewHolder.class);

    private final AtomicReference<FleetView> view = new AtomicReference<>(FleetView.INITIAL);
    private final List<Consumer<FleetView>> listeners = new CopyOnWriteArrayList<>();

    /** Creates a holder with the initial view. */
    public FleetViewHolder() {}

    /** Returns the current view, never null. */
    public FleetView view() {
        return view.get();
    }

    /** Adds a listener that is called with each new view, on the thread that published it. */
    public void addListener(Consumer<FleetView> listener) {
        listeners.add(checkNotNull(listener, "listener"));
    }

    /**
     * Publishes a configuration unless the same or a newer version is in force.
     *
     * <p>A document that cannot be decoded is logged and ignored.
     *
     * @param document the operator's document
     * @param source the origin of the document, for the log
     */
    public void offerConfig(byte[] document, String source) {
        Optional<ServingConfig> decoded = decode(document, source);
        if (decoded.isEmpty()) {
            return;
        }
        ServingConfig config = decoded.get();
        if (config.version() <= view().configVersion()) {
            return;
        }
        byte[] shareable =
                config.workspaces().isEmpty() ? document : ConfigDecoder.withoutKeys(document);
        FleetView previous =
                view.getAndUpdate(
                        old ->
                                config.version() > old.configVersion()
                                        ? new FleetView(decoded, shareable, old.directory())
                                        : old);
        if (config.version() > previous.configVersion()) {
            LOG.info(
                    "config: in force version={} previous={} source={}",
                    config.version(),
                    previous.configVersion(),
                    source);
            publish();
        }
    }

    /** Publishes a directory of targets unless the same or a newer version is known. */
    public void offerDirectory(TargetDirectory directory) {
        FleetView previous =
                view.getAndUpdate(
                        old ->
                                directory.version() > old.directory().version()
                                        ? new FleetView(
                                                old.config(), old.configDocument(), directory)
                                        : old);
        if (directory.version() > previous.directory().version()) {
            publish();
        }
    }

    private static Optional<ServingConfig> decode(byte[] document, String source) {
        try {
            return Optional.of(ConfigDecoder.decode(document));
        } catch (FuchsiaspindleException failure) {
            LOG.error("config: document ignored source={} reason={}", source, failure.getMessage());
            return Optional.empty();
        }
    }

    private void publish() {
        FleetView current = view.get();
        listeners.forEach(listener -> listener.accept(current));
    }
}
