package org.fuchsiaspindle.core.job;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The process that runs the items of a job.
 *
 * @param ip the address of its instance, empty if nobody owns the job
 * @param incarnation identifies one life of the process
 */
public record JobOwner(String ip, String incarnation) {

    /** The owner of a job that was handed back. */
    public static final JobOwner NONE = new JobOwner("", "");

    /** Checks the arguments. */
    public JobOwner {
        checkNotNull(ip, "ip");
        checkNotNull(incarnation, "incarnation");
    }
}
