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
 * The partial result of an item, from which a later run resumes.
 *
 * @param lastEvent the number of the last complete event
 * @param text the data of all events up to and including it
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

    /**
     * Returns the progress by item from the rows of a job; values that cannot be decoded are
     * skipped.
     */
    static Map<Integer, ItemProgress> decode(String jobId, List<StoredRow> rows) {
        Map<Integer, ByteArrayOutputStream> values = new HashMap<>();
        for (StoredRow row : rows) {
            String[] keyParts = row.key().key().substring(jobId.length() + 1).split("/");
            values.computeIfAbsent(
                            Integer.valueOf(keyParts[0]), item -> new ByteArrayOutputStream())
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
                        LOG.warn(
                                "batch: stored progress cannot be decoded job={} item={}",
                                jobId,
                                item);
                    }
                });
        return progress;
    }
}
