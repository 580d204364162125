package org.fuchsiaspindle.daemon.entry.batch;

import com.google.common.base.Preconditions;
import java.util.Optional;
import org.fuchsiaspindle.core.batch.JobRecord;

/**
 * The output or error file of an ended job; it is not stored but assembled from the result objects
 * of the segments.
 *
 * @param job the job
 * @param kind which of the job's two result files
 */
record ResultFile(JobRecord job, Kind kind) {

    private static final String PREFIX = "file-";

    /**
     * The kinds of result files; the tag is the first character of their lines in result objects.
     */
    enum Kind {
        OUTPUT("-output", 'O'),
        ERROR("-error", 'E');

        private final String suffix;
        private final char tag;

        Kind(String suffix, char tag) {
            this.suffix = suffix;
            this.tag = tag;
        }

        char tag() {
            return tag;
        }
    }

    ResultFile {
        Preconditions.checkNotNull(job, "job");
        Preconditions.checkNotNull(kind, "kind");
    }

    /**
     * Returns the job identifier in a file identifier, empty if it does not identify a result file.
     */
    static Optional<String> jobOf(String fileId) {
        return kindOf(fileId)
                .filter(kind -> fileId.startsWith(PREFIX))
                .map(
                        kind ->
                                fileId.substring(
                                        PREFIX.length(), fileId.length() - kind.suffix.length()));
    }

    static Optional<Kind> kindOf(String fileId) {
        for (Kind kind : Kind.values()) {
            if (fileId.endsWith(kind.suffix)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    /** Returns the file's identifier, empty if the file has no lines. */
    Optional<String> id() {
        return lines() > 0 ? Optional.of(PREFIX + job.id() + kind.suffix) : Optional.empty();
    }

    int lines() {
        return kind == Kind.OUTPUT ? job.outcome().completed() : job.outcome().failed();
    }

    long bytes() {
        return kind == Kind.OUTPUT ? job.outcome().outputBytes() : job.outcome().errorBytes();
    }

    String name() {
        return job.id() + kind.suffix.replace('-', '_') + ".jsonl";
    }
}
