package org.fuchsiaspindle.gateway.batch;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.OptionalLong;
import org.fuchsiaspindle.core.job.JobOwner;
import org.fuchsiaspindle.core.job.JobRecord;
import org.fuchsiaspindle.gateway.batch.JobStore.VersionedJob;
import org.fuchsiaspindle.platform.job.BatchItem;
import org.fuchsiaspindle.platform.target.EventSplitter;
import org.junit.jupiter.api.Test;

/** Guards against a text that passes the limit of an item and then fits into no transaction. */
final class ItemRunTest {

    private final ItemRun run = newRun();

    @Test
    void textBytes_countTheEncodedText() {
        run.add(event(1, "\u0627\u0628"));
        run.add(event(2, "ab"));
        assertThat(run.textBytes())
                .isEqualTo("\u0627\u0628\nab".getBytes(StandardCharsets.UTF_8).length);
    }

    @Test
    void repeatedEvent_isNotCounted() {
        run.add(event(1, "ab"));
        run.add(event(1, "ab"));
        assertThat(run.textBytes()).isEqualTo(2);
    }

    @Test
    void restoredAndDiscardedText_isCounted() {
        run.restore(new ItemProgress(3, "\u0627\u0628"));
        assertThat(run.textBytes()).isEqualTo(4);
        run.discardProgress();
        assertThat(run.textBytes()).isZero();
    }

    private static EventSplitter.Event event(long id, String data) {
        return new EventSplitter.Event(
                Unpooled.copiedBuffer("data: " + data + "\n\n", StandardCharsets.UTF_8),
                OptionalLong.of(id));
    }

    private static ItemRun newRun() {
        BatchItem item = new BatchItem("i", "/x", ImmutableMap.of(), new byte[0], 1);
        JobRecord job =
                new JobRecord(
                        "j",
                        "batch",
                        "h.example",
                        "/x",
                        "",
                        JobOwner.NONE,
                        1,
                        1,
                        1,
                        0,
                        false,
                        ImmutableList.of(),
                        ImmutableMap.of());
        OwnedJob owned = new OwnedJob(new VersionedJob(job, 1), ImmutableList.of(item), Map.of());
        return owned.runs().getFirst();
    }
}
