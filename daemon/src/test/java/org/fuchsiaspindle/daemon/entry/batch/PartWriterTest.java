package org.fuchsiaspindle.daemon.entry.batch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.fuchsiaspindle.core.batch.BatchLimits;
import org.fuchsiaspindle.core.batch.InputFileValidator;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;
import org.fuchsiaspindle.platform.memory.InMemoryObjects;
import org.junit.jupiter.api.Test;

/** Guards against parts, lines and files that exceed their limits. */
final class PartWriterTest {

    private final InMemoryObjects objects = InMemoryObjects.create();
    private final InputFileValidator validator =
            InputFileValidator.create(model -> true, new Random(1));
    private final PartWriter writer = new PartWriter(objects, "file-1", validator);

    @Test
    void partsHoldAtMost256LinesOrOneMebibyte() {
        write(BatchFixture.lines(600));
        String padding = "x".repeat(400_000);
        for (int i = 0; i < 5; i++) {
            write(BatchFixture.line("long-" + i).replace("say", padding) + "\r\n");
        }
        writer.finish();
        assertThat(writer.parts()).containsExactly(256, 256, 90, 2, 1);
        for (int part = 0; part < writer.parts().size(); part++) {
            assertThat(objects.read("file/file-1/part/00000" + part).orElseThrow().length)
                    .isLessThanOrEqualTo(BatchLimits.MAX_PART_BYTES + 1);
        }
        assertThat(validator.errors()).isEmpty();
    }

    @Test
    void lineOverTheLimitIsReportedAndTheRestIsRead() {
        write(BatchFixture.line("a") + "\n" + "x".repeat(BatchLimits.MAX_LINE_BYTES + 1) + "\n");
        write(BatchFixture.line("b"));
        writer.finish();
        assertThat(validator.errors()).extracting("line").containsExactly(2);
        assertThat(validator.errors()).extracting("code").containsExactly("line_too_long");
        assertThat(writer.parts()).containsExactly(2);
    }

    @Test
    void fileWithTooManyLinesIsRefused() {
        String blank = "\n".repeat(10_000);
        assertThatThrownBy(
                        () -> {
                            for (int i = 0; i < 36; i++) {
                                write(blank);
                            }
                        })
                .isInstanceOfSatisfying(
                        FuchsiaspindleException.class,
                        e -> assertThat(e.code()).isEqualTo(ResultCode.FILE_TOO_LARGE));
    }

    private void write(String text) {
        writer.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }
}
