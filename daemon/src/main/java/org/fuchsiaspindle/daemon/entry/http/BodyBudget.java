package org.fuchsiaspindle.daemon.entry.http;

import static com.google.common.base.Preconditions.checkArgument;

import io.undertow.server.HttpServerExchange;
import java.util.concurrent.atomic.AtomicLong;
import org.fuchsiaspindle.core.error.FuchsiaspindleException;
import org.fuchsiaspindle.core.error.ResultCode;

/**
 * Limits the memory of all request bodies that are held at the same time. Thread-safe; never
 * blocks.
 *
 * <p>The limit per body alone would not keep many large requests from exhausting the heap.
 */
public final class BodyBudget {

    /**
     * Divisor of the heap size. A body of n bytes temporarily needs about 5 n bytes: as raw bytes,
     * as parsed JSON, as prompt and as message.
     */
    private static final int HEAP_DIVISOR = 10;

    private final long maxBytes;
    private final AtomicLong used = new AtomicLong();

    private BodyBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Creates a budget for the heap of this process. */
    public static BodyBudget ofHeap() {
        return ofBytes(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    /** Creates a budget of a given size. */
    static BodyBudget ofBytes(long maxBytes) {
        checkArgument(maxBytes > 0, "budget not positive: %s", maxBytes);
        return new BodyBudget(maxBytes);
    }

    /**
     * Reserves bytes until the exchange has completed.
     *
     * <p>One body is always permitted, so that the budget never refuses a body for its size alone.
     *
     * @throws FuchsiaspindleException with {@code OVERLOADED} if the budget is exhausted
     */
    void reserve(HttpServerExchange exchange, long bytes) {
        acquire(bytes);
        exchange.addExchangeCompleteListener(
                (completed, next) -> {
                    release(bytes);
                    next.proceed();
                });
    }

    /** Reserves bytes until they are returned by {@link #release}. */
    void acquire(long bytes) {
        long before = used.getAndUpdate(value -> fits(value, bytes) ? value + bytes : value);
        if (!fits(before, bytes)) {
            throw new FuchsiaspindleException(
                    ResultCode.OVERLOADED, "this entry's memory for request bodies is exhausted");
        }
    }

    void release(long bytes) {
        used.addAndGet(-bytes);
    }

    private boolean fits(long usedBytes, long bytes) {
        return usedBytes == 0 || usedBytes + bytes <= maxBytes;
    }
}
