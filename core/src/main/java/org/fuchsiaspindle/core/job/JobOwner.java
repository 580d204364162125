package org.fuchsiaspindle.core.job;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The process that runs the items of a job.
 *
 * @param ip the IP address of its instance, empty if the job has no owner
 * @param incarnation identifies one run of the process; changes at each restart
 */
public record JobOwner(String ip, String incarnation) {

    /** The value for a job that its last owner has released. */
    public static final JobOwner NONE = new JobOwner("", "");

    /** Validates the components. */
    public JobOwner {
        checkNotNull(ip, "ip");
        checkNotNull(incarnation, "incarnation");
    }
}
