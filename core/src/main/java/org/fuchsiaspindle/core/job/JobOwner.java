package org.fuchsiaspindle.core.job;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The process that runs the items of a job.
 *
 * @param ip the IP address of its instance, empty if the job has no owner
 * @param incarnation identifies one run of the process; changes with each restart
 */
public record JobOwner(String ip, String incarnation) {

    /** The absent owner of a job that its last owner released. */
    public static final JobOwner NONE = new JobOwner("", "");

    /** Checks the arguments. */
    public JobOwner {
        checkNotNull(ip, "ip");
        checkNotNull(incarnation, "incarnation");
    }
}
