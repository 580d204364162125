package org.fuchsiaspindle.gateway.peer;

import io.netty.channel.Channel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The peers from which heartbeats arrive, with the connections on which they do.
 *
 * <p>Not thread-safe; times are monotonic nanoseconds.
 */
final class HeardPeers {

    /** A peer is lost if it is silent for this many of the intervals that it announced. */
    private static final double SILENCE_LIMIT_INTERVALS = 3.4;

    private final Map<String, Heartbeat> heartbeats = new HashMap<>();
    private final Map<Channel, String> ipsByChannel = new HashMap<>();

    /**
     * The last heartbeat of a peer.
     *
     * @param info what it said
     * @param interval the time until the next heartbeat, as announced
     * @param number its number among the heartbeats of the peer to this gateway, 0 if the peer does
     *     not number them
     * @param receivedNanos when it arrived
     */
    record Heartbeat(PeerInfo info, Duration interval, long number, long receivedNanos) {

        private boolean isSilent(long now) {
            return now - receivedNanos > interval.toNanos() * SILENCE_LIMIT_INTERVALS;
        }
    }

    /**
     * Records a heartbeat.
     *
     * @return the previous one of the same peer, empty if there is none
     */
    Optional<Heartbeat> record(Channel channel, Heartbeat heartbeat) {
        String ip = heartbeat.info().ip();
        if (ipsByChannel.put(channel, ip) == null) {
            closeOthers(ip, channel);
        }
        return Optional.ofNullable(heartbeats.put(ip, heartbeat));
    }

    /** Returns whether a peer that is heard sends on a connection for the first time. */
    boolean isReplaced(Channel channel, String ip) {
        return heartbeats.containsKey(ip) && !ipsByChannel.containsKey(channel);
    }

    /** A peer opens one connection at a time, so earlier ones are dead, though nobody said so. */
    private void closeOthers(String ip, Channel current) {
        for (Channel channel : channels(ip)) {
            if (channel != current) {
                channel.close();
            }
        }
    }

    private List<Channel> channels(String ip) {
        List<Channel> channels = new ArrayList<>();
        ipsByChannel.forEach(
                (channel, peerIp) -> {
                    if (peerIp.equals(ip)) {
                        channels.add(channel);
                    }
                });
        return channels;
    }

    /** Returns the peer that sends on a connection, empty before its first heartbeat there. */
    Optional<String> ip(Channel channel) {
        return Optional.ofNullable(ipsByChannel.get(channel));
    }

    /** Removes a closed connection; returns its peer if that was its last one. */
    Optional<String> removeChannel(Channel channel) {
        String ip = ipsByChannel.remove(channel);
        return ip == null || ipsByChannel.containsValue(ip) ? Optional.empty() : Optional.of(ip);
    }

    /**
     * Removes a peer, whose connections stay open because it may only have been suspended; returns
     * whether it was known.
     */
    boolean remove(String ip) {
        return heartbeats.remove(ip) != null;
    }

    /** Closes the connections of a peer that is not expected any more. */
    void closeConnections(String ip) {
        channels(ip).forEach(Channel::close);
    }

    /** Returns the last heartbeat of a peer, empty if it is not heard. */
    Optional<Heartbeat> heartbeat(String ip) {
        return Optional.ofNullable(heartbeats.get(ip));
    }

    boolean isHeard(String ip) {
        return heartbeats.containsKey(ip);
    }

    /** Returns the addresses of all peers that are heard. */
    Set<String> ips() {
        return Set.copyOf(heartbeats.keySet());
    }

    /** Returns the peers that have not sent a heartbeat for too long. */
    List<String> silentIps(long now) {
        List<String> silent = new ArrayList<>();
        heartbeats.forEach(
                (ip, heartbeat) -> {
                    if (heartbeat.isSilent(now)) {
                        silent.add(ip);
                    }
                });
        return silent;
    }

    /** Returns the state of all peers that are heard. */
    List<PeerInfo> infos() {
        return heartbeats.values().stream().map(Heartbeat::info).toList();
    }
}
