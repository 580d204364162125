package org.fuchsiaspindle.gateway.telemetry;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import org.slf4j.Logger;

/**
 * Configures the log of a gateway: one line per event on standard output.
 *
 * <p>A configuration file, if there is one, takes precedence. Without one, the log is configured in
 * code, because reading a file takes a large part of the start of the process. Found by the logging
 * library as a service.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_LOW_PRIORITY)
public final class LogConfigurator extends ContextAwareBase implements Configurator {

    private static final String FILE_PROPERTY = "logback.configurationFile";
    private static final String FILE_RESOURCE = "logback.xml";
    private static final String PATTERN =
            "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %msg%n%ex{short}";
    private static final String NETTY = "io.netty";

    /** Creates a configurator; called by the logging library. */
    public LogConfigurator() {}

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        boolean hasFile =
                System.getProperty(FILE_PROPERTY) != null
                        || LogConfigurator.class.getClassLoader().getResource(FILE_RESOURCE)
                                != null;
        if (hasFile) {
            return ExecutionStatus.INVOKE_NEXT_IF_ANY;
        }
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(PATTERN);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setName("STDOUT");
        appender.setEncoder(encoder);
        appender.start();
        context.getLogger(NETTY).setLevel(Level.WARN);
        context.getLogger(Logger.ROOT_LOGGER_NAME).setLevel(Level.INFO);
        context.getLogger(Logger.ROOT_LOGGER_NAME).addAppender(appender);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }
}
