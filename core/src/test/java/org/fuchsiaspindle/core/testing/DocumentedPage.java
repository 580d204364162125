package org.fuchsiaspindle.core.testing;

import java.io.File;
import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.namer.ApprovalNamer;

/** Compares generated text with a page in {@code docs}. */
public final class DocumentedPage {

    private DocumentedPage() {}

    /**
     * Fails if the page differs from the text; the text is then written to {@code NAME.received.md}
     * in the directory of the page.
     */
    public static void verify(String name, String text) {
        Approvals.verify(text, new Options().forFile().withNamer(new PageNamer(name)));
    }

    private record PageNamer(String name) implements ApprovalNamer {

        @Override
        public File getApprovedFile(String extensionWithDot) {
            return page(".md");
        }

        @Override
        public File getReceivedFile(String extensionWithDot) {
            return page(".received.md");
        }

        @Override
        public String getApprovalName() {
            return name;
        }

        @Override
        public String getSourceFilePath() {
            return directory().toString() + File.separator;
        }

        @Override
        public ApprovalNamer addAdditionalInformation(String additionalInformation) {
            return this;
        }

        @Override
        public String getAdditionalInformation() {
            return "";
        }

        private File page(String suffix) {
            return directory().resolve(name + suffix).toFile();
        }

        private static Path directory() {
            return Path.of("..", "docs");
        }
    }
}
