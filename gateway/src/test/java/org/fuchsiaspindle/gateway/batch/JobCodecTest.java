package org.fuchsiaspindle.gateway.batch;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.fuchsiaspindle.core.job.JobOwner;
import org.fuchsiaspindle.core.job.JobRecord;
import org.fuchsiaspindle.core.job.ListedItem;
import org.fuchsiaspindle.wire.peer.StoredJob;
import org.junit.jupiter.api.Test;

/** Tests the rows of jobs. */
final class JobCodecTest {

    /** Guards against a row that loses a part of its job, such as its workspace. */
    @Test
    void decodedRow_isTheEncodedJob() {
        JobRecord job =
                new JobRecord(
                        "j",
                        "route",
                        "h.example",
                        "/x",
                        "workspace",
                        new JobOwner("127.0.0.1", "i"),
                        3,
                        2,
                        100,
                        5,
                        false,
                        ImmutableList.of(new ListedItem(1, "item", true, 1)),
                        ImmutableMap.of(0, 2));
        assertThat(JobCodec.decode("j", JobCodec.encode(job))).contains(job);
    }

    /** Guards against jobs of an earlier version that no longer load. */
    @Test
    void rowOfAnEarlierVersion_hasNoWorkspace() {
        byte[] row = StoredJob.newBuilder().setRoute("route").setItemCount(1).build().toByteArray();
        assertThat(JobCodec.decode("j", row)).map(JobRecord::workspace).contains("");
    }
}
