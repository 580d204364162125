package org.fuchsiaspindle.daemon.entry.http;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.Closeable;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fuchsiaspindle.core.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Closes the connections of callers that do not read their responses.
 *
 * <p>Thread-safe. The server's own write timeout is not used, because it counts the time between
 * two writes and would end streams that wait for their next token.
 */
public final class SlowCallers implements AutoCloseable {

    /** A connection is closed if a write blocks for this long. */
    public static final Duration WRITE_TIMEOUT = Duration.ofSeconds(30);

    private static final Logger LOG = LoggerFactory.getLogger(SlowCallers.class);
    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(1);

    private final Clock clock;
    private final Map<Closeable, Long> writingSince = new ConcurrentHashMap<>();
    private final Thread checker =
            Thread.ofVirtual().name("slow-callers").unstarted(this::checkPeriodically);

    private SlowCallers(Clock clock) {
        this.clock = checkNotNull(clock, "clock");
    }

    /** Creates an instance and starts its checking thread. */
    public static SlowCallers start(Clock clock) {
        SlowCallers callers = new SlowCallers(clock);
        callers.checker.start();
        return callers;
    }

    /**
     * Creates an instance without a checking thread; its owner calls {@link
     * #closeBlockedConnections}.
     */
    static SlowCallers withoutChecker(Clock clock) {
        return new SlowCallers(clock);
    }

    /** A write to a connection, which may block. */
    @FunctionalInterface
    interface Write {

        void run() throws IOException;
    }

    /** Runs a write; the connection is closed if the write blocks for too long. */
    void runWrite(Closeable connection, Write write) throws IOException {
        writingSince.put(connection, clock.nanoTime());
        try {
            write.run();
        } finally {
            writingSince.remove(connection);
        }
    }

    /** Closes the connections whose writes are blocked for too long. */
    void closeBlockedConnections() {
        long now = clock.nanoTime();
        writingSince.forEach(
                (connection, since) -> {
                    if (now - since >= WRITE_TIMEOUT.toNanos()) {
                        LOG.info("http: connection closed, caller does not read its response");
                        closeQuietly(connection);
                    }
                });
    }

    @Override
    public void close() {
        checker.interrupt();
    }

    private void checkPeriodically() {
        try {
            while (true) {
                Thread.sleep(CHECK_INTERVAL);
                closeBlockedConnections();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void closeQuietly(Closeable connection) {
        try {
            connection.close();
        } catch (IOException e) {
            LOG.debug("http: cannot close a connection", e);
        }
    }
}
