package org.fuchsiaspindle.gateway.batch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import org.fuchsiaspindle.core.job.JobOwner;
import org.fuchsiaspindle.core.job.JobRecord;
import org.fuchsiaspindle.core.job.ListedItem;
import org.fuchsiaspindle.wire.peer.StoredFailure;
import org.fuchsiaspindle.wire.peer.StoredJob;
import org.fuchsiaspindle.wire.peer.StoredResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Encodes jobs for their rows in the store and decodes them. */
final class JobCodec {

    private static final Logger LOG = LoggerFactory.getLogger(JobCodec.class);

    private JobCodec() {}

    static byte[] encode(JobRecord job) {
        StoredJob.Builder stored =
                StoredJob.newBuilder()
                        .setRoute(job.route())
                        .setHost(job.host())
                        .setPath(job.path())
                        .setWorkspace(job.workspace())
                        .setOwnerIp(job.owner().ip())
                        .setOwnerIncarnation(job.owner().incarnation())
                        .setEpoch(job.epoch())
                        .setItemCount(job.itemCount())
                        .setWaitingTokens(job.waitingTokens())
                        .setAcceptedAtMillis(job.acceptedAtMillis())
                        .setEnded(job.ended());
        for (ListedItem item : job.listed()) {
            stored.addListed(
                    StoredResult.newBuilder()
                            .setItem(item.item())
                            .setItemId(item.itemId())
                            .setCompleted(item.completed())
                            .setChunks(item.chunks()));
        }
        job.failures()
                .forEach(
                        (item, count) ->
                                stored.addFailures(
                                        StoredFailure.newBuilder().setItem(item).setCount(count)));
        return stored.build().toByteArray();
    }

    /** Returns the job in a row; logs an error and returns empty if the row cannot be decoded. */
    static Optional<JobRecord> decode(String id, byte[] value) {
        try {
            return Optional.of(decode(id, StoredJob.parseFrom(value)));
        } catch (InvalidProtocolBufferException | IllegalArgumentException failure) {
            LOG.error(
                    "batch: job row cannot be decoded job={} reason={}", id, failure.getMessage());
            return Optional.empty();
        }
    }

    private static JobRecord decode(String id, StoredJob stored) {
        ImmutableList.Builder<ListedItem> listed = ImmutableList.builder();
        for (StoredResult result : stored.getListedList()) {
            listed.add(
                    new ListedItem(
                            result.getItem(),
                            result.getItemId(),
                            result.getCompleted(),
                            result.getChunks()));
        }
        ImmutableMap.Builder<Integer, Integer> failures = ImmutableMap.builder();
        for (StoredFailure failure : stored.getFailuresList()) {
            failures.put(failure.getItem(), failure.getCount());
        }
        return new JobRecord(
                id,
                stored.getRoute(),
                stored.getHost(),
                stored.getPath(),
                stored.getWorkspace(),
                new JobOwner(stored.getOwnerIp(), stored.getOwnerIncarnation()),
                stored.getEpoch(),
                stored.getItemCount(),
                stored.getWaitingTokens(),
                stored.getAcceptedAtMillis(),
                stored.getEnded(),
                listed.build(),
                failures.buildKeepingLast());
    }
}
