package org.fuchsiaspindle.daemon.entry.limit;

import org.fuchsiaspindle.core.contract.Contract;

/** Limits the online requests of customers. Thread-safe; never blocks. */
public interface CustomerLimits {

    /**
     * Acquires a permit to run one request of a customer.
     *
     * @param contract the customer's contract
     * @return the permit, to be closed when the request has ended
     * @throws org.fuchsiaspindle.core.error.FuchsiaspindleException with {@code RATE_LIMITED} or
     *     {@code CONCURRENCY_LIMITED} and the time after which to retry
     */
    Permit acquire(Contract contract);

    /** A permit to run one request. */
    interface Permit extends AutoCloseable {

        /** Releases the concurrency slot; has no effect when called again. */
        @Override
        void close();
    }
}
