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
 * Configures Logback: JSON lines on the target that the property {@value #TARGET_PROPERTY} names.
 * Logback finds it as a service, which saves every process the XML configuration and its parser.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {
    /** {@code System.out} or {@code System.err}, the default. */
    public static final String TARGET_PROPERTY = "snipeslip.log.target";

    /** True for processes that serve calls: a queue stands between them and the target. */
    public static final String ASYNC_PROPERTY = "snipeslip.log.async";

    /** Some seconds of lines at the usual load of an instance. */
    private static final int QUEUE_LINES = 2_048;

    private static final int FLUSH_MILLIS = 300;

    private static final String DEFAULT_TARGET = "System.err";

    /** Callers cause most of what these log, for example each connection that breaks. */
    private static final String[] LOUD = {"org.xnio", "org.jboss", "io.undertow"};

    /** Logs each malformed response with a stack trace; the metrics count these. */
    private static final String MALFORMED = "io.undertow.client";

    /** Writes the lines that wait and ends logging. */
    public static void close() {
        if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
            context.stop();
        }
    }

    /** Lines that find the queue full are dropped: a reader that stalls must not stop calls. */
    private static AsyncAppender async(
            LoggerContext context, ConsoleAppender<ILoggingEvent> appender) {
        AsyncAppender async = new AsyncAppender();
        async.setContext(context);
        async.setName("async");
        async.setQueueSize(QUEUE_LINES);
        async.setNeverBlock(true);
        async.setMaxFlushTime(FLUSH_MILLIS);
        async.addAppender(appender);
        async.start();
        return async;
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
        for (String name : LOUD) {
            context.getLogger(name).setLevel(Level.WARN);
        }
        context.getLogger(MALFORMED).setLevel(Level.OFF);
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        root.addAppender(Boolean.getBoolean(ASYNC_PROPERTY) ? async(context, appender) : appender);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }
}
