package org.fuchsiaspindle.gateway.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.fuchsiaspindle.gateway.view.FleetView;
import org.fuchsiaspindle.gateway.view.FleetViewHolder;
import org.fuchsiaspindle.gateway.watch.StoreHealth;
import org.fuchsiaspindle.wire.peer.PeerFrame;
import org.fuchsiaspindle.wire.peer.ViewRequest;
import org.fuchsiaspindle.wire.peer.ViewShare;

/**
 * Obtains the configuration and the targets from peers that know newer ones, and shares them.
 *
 * <p>Confined to the event loop of the request path.
 */
final class ViewExchange {

    /** A store that has not served a call for longer is treated as unreachable. */
    private static final Duration STORE_SILENCE_LIMIT = Duration.ofMillis(1500);

    private final FleetViewHolder viewHolder;
    private final StoreHealth storeHealth;

    ViewExchange(FleetViewHolder viewHolder, StoreHealth storeHealth) {
        this.viewHolder = checkNotNull(viewHolder, "viewHolder");
        this.storeHealth = checkNotNull(storeHealth, "storeHealth");
    }

    /**
     * A request for a newer view.
     *
     * @param peerIp the peer to ask
     * @param frame what to send
     */
    record Request(String peerIp, PeerFrame frame) {}

    /**
     * Returns a request for a newer configuration, and for newer targets while this gateway cannot
     * reach the store; empty if no peer knows anything newer.
     *
     * @param peers the peers to which a connection is open
     */
    Optional<Request> request(List<PeerInfo> peers) {
        FleetView view = viewHolder.view();
        boolean storeUnreachable =
                storeHealth.sinceLastSuccess().compareTo(STORE_SILENCE_LIMIT) > 0;
        List<PeerInfo> sources =
                peers.stream()
                        .filter(
                                peer ->
                                        peer.configVersion() > view.configVersion()
                                                || storeUnreachable
                                                        && mayHaveNewerTargets(peer, view))
                        .toList();
        if (sources.isEmpty()) {
            return Optional.empty();
        }
        PeerInfo source = sources.get(ThreadLocalRandom.current().nextInt(sources.size()));
        ViewRequest request =
                ViewRequest.newBuilder()
                        .setConfigVersion(view.configVersion())
                        .setDirectoryVersion(
                                storeUnreachable ? view.directory().version() : Long.MAX_VALUE)
                        .build();
        return Optional.of(
                new Request(source.ip(), PeerFrame.newBuilder().setViewRequest(request).build()));
    }

    private static boolean mayHaveNewerTargets(PeerInfo peer, FleetView view) {
        return peer.storeReachable() || peer.directoryVersion() > view.directory().version();
    }

    /** Returns what this gateway knows that is newer than the requested versions. */
    PeerFrame answer(ViewRequest request) {
        FleetView view = viewHolder.view();
        ViewShare.Builder share =
                ViewShare.newBuilder().setDirectoryVersion(view.directory().version());
        if (view.configVersion() > request.getConfigVersion()) {
            share.setConfigDocument(ByteString.copyFrom(view.configDocument()));
        }
        if (view.directory().version() > request.getDirectoryVersion()) {
            view.directory()
                    .targets()
                    .values()
                    .forEach(target -> share.addRegistrations(RegistrationCodec.encode(target)));
        }
        return PeerFrame.newBuilder().setView(share).build();
    }

    /** Takes over what a peer shared, as far as it is newer. */
    void apply(ViewShare share) {
        if (!share.getConfigDocument().isEmpty()) {
            viewHolder.offerConfig(share.getConfigDocument().toByteArray(), "peer");
        }
        if (share.getRegistrationsCount() > 0) {
            viewHolder.offerDirectory(
                    RegistrationCodec.decode(
                            share.getDirectoryVersion(), share.getRegistrationsList()));
        }
    }
}
