package org.fuchsiaspindle.daemon.agent;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.fuchsiaspindle.wire.proto.Frame;
import org.fuchsiaspindle.wire.transport.FleetConnection;

/** A connected entry and its work. Confined to the agent's event loop. */
final class EntryPeer {

    /** Maximum number of identifiers of items and of streams kept to recognise late duplicates. */
    private static final int MAX_RECENT_IDS = 4_096;

    private final FleetConnection connection;
    private final Map<Long, OnlineWork> streams = new HashMap<>();
    private final Map<BatchWork.Key, BatchWork> items = new HashMap<>();
    private final Map<BatchWork.Key, Boolean> endedItems = boundedMap();
    private final Map<Long, Boolean> usedStreams = boundedMap();
    private int batchDemand;
    private boolean reported;
    private boolean cacheReset;

    EntryPeer(FleetConnection connection) {
        this.connection = connection;
    }

    FleetConnection connection() {
        return connection;
    }

    Map<Long, OnlineWork> streams() {
        return streams;
    }

    Map<BatchWork.Key, BatchWork> items() {
        return items;
    }

    /** Returns true if the attempt was received before, whether it has ended or not. */
    boolean isKnown(BatchWork.Key key) {
        return items.containsKey(key) || endedItems.containsKey(key);
    }

    void itemEnded(BatchWork.Key key) {
        items.remove(key);
        endedItems.put(key, true);
    }

    /** Removes a returned item, so that the entry may send the same attempt again. */
    void itemReturned(BatchWork.Key key) {
        items.remove(key);
        endedItems.remove(key);
    }

    /**
     * Records a stream identifier; returns false if it was used before, because a message was
     * delivered twice.
     */
    boolean acceptStream(long streamId) {
        return usedStreams.put(streamId, true) == null;
    }

    /** Returns true once a load report has been sent to the entry. */
    boolean isReported() {
        return reported;
    }

    /** Makes the next report state that the target has lost its prompt cache. */
    void scheduleCacheReset() {
        cacheReset = true;
    }

    /**
     * Records that a report is sent; returns true if it must state that the prompt cache was lost.
     */
    boolean recordReport() {
        boolean reset = cacheReset;
        reported = true;
        cacheReset = false;
        return reset;
    }

    int batchDemand() {
        return batchDemand;
    }

    void setBatchDemand(int value) {
        batchDemand = value;
    }

    void send(Frame.Builder frame) {
        connection.send(frame.build());
    }

    private static <K> Map<K, Boolean> boundedMap() {
        return new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, Boolean> eldest) {
                return size() > MAX_RECENT_IDS;
            }
        };
    }
}
