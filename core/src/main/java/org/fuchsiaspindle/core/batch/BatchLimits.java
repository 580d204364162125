package org.fuchsiaspindle.core.batch;

import java.time.Duration;

/** Limits of files, segments, leases and buffers. */
public final class BatchLimits {

    /** Largest number of lines of a file. */
    public static final int MAX_FILE_LINES = 350_000;

    /** Largest size of a file in bytes. */
    public static final long MAX_FILE_BYTES = 2L * 1024 * 1024 * 1024;

    /** Largest size of a line in bytes; a line never spans two parts. */
    public static final int MAX_LINE_BYTES = 1024 * 1024;

    /** Largest number of lines of a part. */
    public static final int MAX_PART_LINES = 256;

    /** Largest size of a part in bytes. */
    public static final int MAX_PART_BYTES = 1024 * 1024;

    /** Largest number of line errors that are stored for the caller. */
    public static final int MAX_LINE_ERRORS = 100;

    /** Largest length of a {@code custom_id} in characters. */
    public static final int MAX_CUSTOM_ID_CHARS = 512;

    /** Largest number of entries of a job's metadata. */
    public static final int MAX_METADATA_ENTRIES = 16;

    /** Time between two renewals of a holder session. */
    public static final Duration RENEW_INTERVAL = Duration.ofSeconds(10);

    /** A holder that has not renewed its session for this long stops dispatching items. */
    public static final Duration HOLDER_VALIDITY = Duration.ofSeconds(20);

    /**
     * Another process may take over the segments of a session whose row it has observed unchanged
     * for this long.
     */
    public static final Duration LEASE_DURATION = Duration.ofSeconds(30);

    /** Largest age of the job directory at which items may be dispatched. */
    public static final Duration MAX_DIRECTORY_AGE = Duration.ofMillis(2500);

    /** Largest size in bytes of the results that an entry holds before they are stored. */
    public static final long MAX_UNSAVED_BYTES = 64L * 1024 * 1024;

    /** Largest size in bytes of the input lines that an entry holds. */
    public static final long MAX_INPUT_BYTES = 64L * 1024 * 1024;

    /** Largest size of the record of one item in bytes; a record must fit into one object. */
    public static final int MAX_RECORD_BYTES = 8 * 1024 * 1024;

    /**
     * An item fails once this many distinct targets have been lost while it ran alone, or have
     * returned errors for it.
     */
    public static final int LOSS_BUDGET = 3;

    private BatchLimits() {}
}
