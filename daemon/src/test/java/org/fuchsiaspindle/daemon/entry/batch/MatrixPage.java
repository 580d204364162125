package org.fuchsiaspindle.daemon.entry.batch;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.approvaltests.approvers.FileApprover;

/** Compares the generated fault matrix with the approved page in {@code docs}. */
final class MatrixPage {

    private MatrixPage() {}

    /** Fails if the text differs from the page; the text is also written to {@code target}. */
    static void verify(String page, String text) throws IOException {
        Path received = Path.of("target", page);
        Files.writeString(received, text);
        Path approved = Path.of("..", "docs", page);
        assertThat(
                        FileApprover.approveTextFile(received.toFile(), approved.toFile())
                                .isSuccessful())
                .as("%s equals the approved %s", received, approved)
                .isTrue();
    }
}
