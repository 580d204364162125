package org.fuchsiaspindle.gateway.telemetry;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.fuchsiaspindle.core.time.Clock;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.Logger;
import org.slf4j.event.Level;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.helpers.NOPMDCAdapter;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * Logs of a gateway process: one line per event on standard output.
 *
 * <p>A general logging library takes longer to initialize than everything else that a gateway does
 * until it listens. Thread-safe.
 */
public final class LineLogProvider implements SLF4JServiceProvider {

    /** System property of SLF4J with the class name of the provider. */
    private static final String PROVIDER_PROPERTY = "slf4j.provider";

    /** System property of SLF4J with the lowest level of its own messages. */
    private static final String VERBOSITY_PROPERTY = "slf4j.internal.verbosity";

    /** Version of the SLF4J API that this provider implements. */
    private static final String API_VERSION = "2.0.99";

    private static final String NETTY_PREFIX = "io.netty.";

    private final ConcurrentMap<String, Logger> loggers = new ConcurrentHashMap<>();
    private final IMarkerFactory markerFactory = new BasicMarkerFactory();
    private final MDCAdapter mdcAdapter = new NOPMDCAdapter();
    private final PrintStream out =
            new PrintStream(
                    new FileOutputStream(FileDescriptor.out), false, StandardCharsets.UTF_8);

    /** Creates a provider; called by SLF4J. */
    public LineLogProvider() {}

    /**
     * Selects this provider for the process, unless another one was selected on the command line.
     * Must be called before the first logger is created.
     */
    public static void install() {
        if (System.getProperty(PROVIDER_PROPERTY) == null) {
            System.setProperty(PROVIDER_PROPERTY, LineLogProvider.class.getName());
            // Otherwise SLF4J itself reports the selection as a line without a time.
            System.setProperty(VERBOSITY_PROPERTY, "WARN");
        }
    }

    @Override
    public ILoggerFactory getLoggerFactory() {
        return name -> loggers.computeIfAbsent(name, this::createLogger);
    }

    @Override
    public IMarkerFactory getMarkerFactory() {
        return markerFactory;
    }

    @Override
    public MDCAdapter getMDCAdapter() {
        return mdcAdapter;
    }

    @Override
    public String getRequestedApiVersion() {
        return API_VERSION;
    }

    @Override
    public void initialize() {
        // Everything is set up when the provider is created.
    }

    private Logger createLogger(String name) {
        Level threshold = name.startsWith(NETTY_PREFIX) ? Level.WARN : Level.INFO;
        return new LineLogger(name, threshold, Clock.system(), out);
    }
}
