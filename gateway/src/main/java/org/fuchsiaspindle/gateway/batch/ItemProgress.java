package org.fuchsiaspindle.gateway.batch;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fuchsiaspindle.platform.store.StoredRow;
import org.fuchsiaspindle.wire.peer.StoredProgress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the runs of an item have made so far.
 *
 * @param lastEvent the number of the last whole event
 * @param text the data of all events up to it
 */
record ItemProgress(long lastEvent, String text) {

    private static final Logger LOG = LoggerFactory.getLogger(ItemProgress.class);

    byte[] encode() {
        return StoredProgress.newBuilder()
                .setLastEvent(lastEvent)
                .setText(ByteString.copyFrom(text, StandardCharsets.UTF_8))
                .build()
                .toByteArray();
    }

    /** Returns the progress in the rows of a job; rows that cannot be read are left out. */
    static Map<Integer, ItemProgress> decode(String jobId, List<StoredRow> rows) {
        Map<Integer, ByteArrayOutputStream> values = new HashMap<>();
        for (StoredRow row : rows) {
            String[] parts = row.key().key().substring(jobId.length() + 1).split("/");
            values.computeIfAbsent(Integer.valueOf(parts[0]), item -> new ByteArrayOutputStream())
                    .writeBytes(row.value());
        }
        Map<Integer, ItemProgress> progress = new HashMap<>();
        values.forEach(
                (item, bytes) -> {
                    try {
                        StoredProgress stored = StoredProgress.parseFrom(bytes.toByteArray());
                        String text = stored.getText().toString(StandardCharsets.UTF_8);
                        progress.put(item, new ItemProgress(stored.getLastEvent(), text));
                    } catch (InvalidProtocolBufferException failure) {
                        LOG.warn("batch: unreadable progress job={} item={}", jobId, item);
                    }
                });
        return progress;
    }
}
