package org.fuchsiaspindle.core.batch;

import java.util.Locale;

/** Keys of the table rows and names of the objects of batch jobs. */
public final class BatchKeys {

    /** Key of the row that changes whenever the list of open jobs changes. */
    public static final String ACTIVE_HEAD = "active/head";

    /** Key prefix of the rows of open jobs. */
    public static final String ACTIVE = "active/";

    /** Key prefix of the rows that order ended jobs by the end of their retention. */
    public static final String RETAINED = "retained/";

    /** Key prefix of the rows of holder sessions. */
    public static final String HOLDERS = "holder/";

    private BatchKeys() {}

    /** Returns the key of a job's row. */
    public static String job(String job) {
        return "job/" + job;
    }

    /** Returns the key of the row that lists a job for its customer. */
    public static String customerJob(String customer, String job) {
        return customerJobs(customer) + job;
    }

    /** Returns the key prefix of a customer's job list. */
    public static String customerJobs(String customer) {
        return "custjob/" + customer + "/";
    }

    /** Returns the key of the row that holds a customer's open jobs. */
    public static String customerOpen(String customer) {
        return "custopen/" + customer;
    }

    /** Returns the key of an idempotency key's row. */
    public static String jobKey(String customer, String digest) {
        return "jobkey/" + customer + "/" + digest;
    }

    /** Returns the key of the row that makes an open job known to all entries. */
    public static String active(String job) {
        return ACTIVE + job;
    }

    /** Returns the key of a file's row. */
    public static String file(String customer, String file) {
        return files(customer) + file;
    }

    /** Returns the key prefix of a customer's files. */
    public static String files(String customer) {
        return "file/" + customer + "/";
    }

    /** Returns the name of the object that holds a part of a file. */
    public static String part(String file, int part) {
        return "file/" + file + "/part/" + sixDigits(part);
    }

    /** Returns the key of a segment's row. */
    public static String segment(String job, int segment) {
        return segments(job) + sixDigits(segment);
    }

    /** Returns the key prefix of a job's segments. */
    public static String segments(String job) {
        return "seg/" + job + "/";
    }

    /** Returns the number of a segment, given the key of its row. */
    public static int segmentNumber(String key) {
        return Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
    }

    /** Returns the key of a holder session's row. */
    public static String holder(String instance, String incarnation) {
        return HOLDERS + instance + "/" + incarnation;
    }

    /** Returns the name of the first result object of a segment. */
    public static String result(String job, int segment, long epoch, String nonce) {
        return "result/" + job + "/" + sixDigits(segment) + "/" + epoch + "-" + nonce;
    }

    /** Returns the key of the row that orders an ended job by the end of its retention. */
    public static String retained(long untilMs, String job) {
        return RETAINED + String.format(Locale.ROOT, "%015d", untilMs) + "/" + job;
    }

    private static String sixDigits(int number) {
        return String.format(Locale.ROOT, "%06d", number);
    }
}
