package org.fuchsiaspindle.daemon.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;

/**
 * The administration API's operations on the jobs of all customers. Thread-safe; calls block unless
 * noted otherwise.
 */
public interface JobOperations {

    /**
     * Returns the open jobs, the earliest deadline first.
     *
     * @param customer only jobs of this customer; empty for all
     */
    ArrayNode list(Optional<String> customer);

    /** Returns a job with its progress, also one that has ended; empty if there is none. */
    Optional<ObjectNode> show(String id);

    /**
     * Cancels a job and returns its new state.
     *
     * @throws org.fuchsiaspindle.core.error.FuchsiaspindleException with {@code NOT_FOUND} or
     *     {@code JOB_FINISHED}
     */
    ObjectNode cancel(String id);

    /**
     * Returns the jobs that may miss their deadline by this entry's last assessment; never blocks.
     */
    ArrayNode atRisk();
}
