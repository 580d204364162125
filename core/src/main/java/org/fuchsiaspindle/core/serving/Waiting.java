package org.fuchsiaspindle.core.serving;

import java.util.Comparator;
import org.fuchsiaspindle.core.serving.RequestQueue.Entry;

/**
 * A waiting request in its place.
 *
 * @param entry the request
 * @param sequence identifies it, and grows from one request to the next
 * @param <T> the waiting request
 */
record Waiting<T>(Entry<T> entry, long sequence) {

    /** Returns the order by age, for which the latest start on time stands. */
    static <T> Comparator<Waiting<T>> oldestFirst() {
        return Comparator.comparingLong((Waiting<T> waiting) -> waiting.entry().onTimeUntilNanos())
                .thenComparingLong(Waiting::sequence);
    }

    T request() {
        return entry.request();
    }

    String workspace() {
        return entry.workspace();
    }

    double cost() {
        return entry.cost();
    }

    boolean isOnTime(long startNanos) {
        return entry.onTimeUntilNanos() - startNanos >= 0;
    }
}
