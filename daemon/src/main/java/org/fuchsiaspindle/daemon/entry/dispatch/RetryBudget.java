package org.fuchsiaspindle.daemon.entry.dispatch;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits retries to a fraction of the requests, so that retries cannot amplify an overload.
 *
 * <p>Thread-safe. The reserve allows a burst of retries, so that the streams of a failed target can
 * be resumed although the recent requests alone would not permit as many retries.
 */
final class RetryBudget {

    /** Number of requests per retry, which is a budget of 10%. */
    private static final int REQUESTS_PER_RETRY = 10;

    private static final int RESERVE_RETRIES = 100;
    private static final long MAX_CREDIT = (long) RESERVE_RETRIES * REQUESTS_PER_RETRY;

    private final AtomicLong credit = new AtomicLong(MAX_CREDIT);

    /** Records a request, which adds a tenth of a retry to the budget. */
    void countRequest() {
        credit.updateAndGet(value -> Math.min(MAX_CREDIT, value + 1));
    }

    /** Takes one retry from the budget; returns false if the budget is exhausted. */
    boolean tryRetry() {
        while (true) {
            long value = credit.get();
            if (value < REQUESTS_PER_RETRY) {
                return false;
            }
            if (credit.compareAndSet(value, value - REQUESTS_PER_RETRY)) {
                return true;
            }
        }
    }
}
