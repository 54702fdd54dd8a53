package org.snipeslip.server.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import org.slf4j.LoggerFactory;

/**
 * Configures Logback to write JSON lines to the stream that the system property {@value
 * #TARGET_PROPERTY} names. Logback loads this class as a service, so that no process has to load an
 * XML configuration and its parser.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {
    /** System property: {@code System.out} or {@code System.err}, which is the default. */
    public static final String TARGET_PROPERTY = "snipeslip.log.target";

    /** System property: true in processes that serve calls, to put a queue before the stream. */
    public static final String ASYNC_PROPERTY = "snipeslip.log.async";

    /** Holds the lines of some seconds at the usual load of an instance. */
    private static final int QUEUE_LINES = 2_048;

    private static final int MAX_FLUSH_MILLIS = 300;

    private static final String DEFAULT_TARGET = "System.err";

    /** Loggers whose lines are mostly caused by callers, such as one for each broken connection. */
    private static final String[] VERBOSE_LOGGERS = {"org.xnio", "org.jboss", "io.undertow"};

    /**
     * Logs a stack trace for each malformed response; it is off because the metrics count these.
     */
    private static final String MALFORMED_RESPONSE_LOGGER = "io.undertow.client";

    /** Writes the queued lines and stops logging; no line can be logged after that. */
    public static void close() {
        if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
            context.stop();
        }
    }

    /**
     * Drops lines when the queue is full, so that a stalled reader of the log does not block calls.
     */
    private static AsyncAppender createAsyncAppender(
            LoggerContext context, ConsoleAppender<ILoggingEvent> appender) {
        AsyncAppender asyncAppender = new AsyncAppender();
        asyncAppender.setContext(context);
        asyncAppender.setName("async");
        asyncAppender.setQueueSize(QUEUE_LINES);
        asyncAppender.setNeverBlock(true);
        asyncAppender.setMaxFlushTime(MAX_FLUSH_MILLIS);
        asyncAppender.addAppender(appender);
        asyncAppender.start();
        return asyncAppender;
    }

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        JsonLineEncoder encoder = new JsonLineEncoder();
        encoder.setContext(context);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setName("console");
        appender.setTarget(System.getProperty(TARGET_PROPERTY, DEFAULT_TARGET));
        appender.setEncoder(encoder);
        appender.start();
        for (String name : VERBOSE_LOGGERS) {
            context.getLogger(name).setLevel(Level.WARN);
        }
        context.getLogger(MALFORMED_RESPONSE_LOGGER).setLevel(Level.OFF);
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        root.addAppender(
                Boolean.getBoolean(ASYNC_PROPERTY)
                        ? createAsyncAppender(context, appender)
                        : appender);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }
}
