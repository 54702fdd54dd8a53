package org.snipeslip.server.runtime;

import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snipeslip.server.http.SimpleHttpListener;
import org.xnio.XnioWorker;

/**
 * Sends calls through all layers of a newly started process, so that the code is loaded and
 * compiled before the first caller connects. The log calls this the rehearsal.
 *
 * <p>The calls are served by a {@link JvmWarmupEnvironment}; they do not reach the callers, backend
 * servers, store, decision log and metrics of the process. The warm-up ends after {@value
 * #MAX_CALLS} calls, at a time limit, or when the first call of a caller arrives.
 */
final class JvmWarmup implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(JvmWarmup.class);

    /**
     * The process reads the store in about this time. The warm-up must not compete with that,
     * because after a power failure of all instances the callers connect immediately.
     */
    private static final long START_DELAY_MILLIS = 300;

    /**
     * The JVM compiles a method after 200 invocations; some methods run in every other call only.
     */
    private static final int MAX_CALLS = 400;

    /**
     * Bounded, because a caller that finds the instance not ready loses more time than code that is
     * not compiled yet would cost.
     */
    private static final long TIME_LIMIT_MILLIS = 2_500;

    private static final long CALL_TIMEOUT_MILLIS = 500;

    /** One call in this many has a body; most calls of callers have none. */
    private static final int CALLS_PER_BODY = 4;

    private final DiscoverySettings settings;
    private final XnioWorker worker;
    private final ByteBufferPool buffers;

    /** Used only on the I/O thread, like the fields {@code startNanos} to {@code callsAnswered}. */
    private JvmWarmupEnvironment environment;

    private long startNanos;
    private int callsSent;
    private int callsAnswered;
    private volatile boolean done;

    /**
     * Creates a warm-up without opening any port, so that it does not delay the start of the
     * process.
     *
     * @param settings settings of the process
     * @param worker its I/O thread runs the warm-up
     * @param buffers buffers for the connections of the warm-up
     */
    JvmWarmup(DiscoverySettings settings, XnioWorker worker, ByteBufferPool buffers) {
        this.settings = settings;
        this.worker = worker;
        this.buffers = buffers;
    }

    /** Schedules the warm-up; its calls run one after another on the I/O thread. */
    void start() {
        worker.getIoThread().executeAfter(this::begin, START_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    boolean isDone() {
        return done;
    }

    /** Ends the warm-up immediately, because a call of a caller arrived or the process stops. */
    @Override
    public void close() {
        if (!done) {
            done = true;
            worker.getIoThread().execute(this::closeEnvironment);
        }
    }

    /** A failure is only logged: the instance then serves its first callers, but more slowly. */
    private void begin() {
        if (done) {
            return;
        }
        try {
            startNanos = System.nanoTime();
            environment = new JvmWarmupEnvironment(settings, worker, buffers);
            sendNextCall();
        } catch (IOException e) {
            done = true;
            LOG.warn("rehearsal skipped: cannot open its loopback ports", e);
        }
    }

    private void sendNextCall() {
        if (done) {
            return;
        }
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        if (callsSent == MAX_CALLS || elapsedMillis >= TIME_LIMIT_MILLIS) {
            done = true;
            closeEnvironment();
            LOG.atInfo()
                    .addKeyValue("calls", callsSent)
                    .addKeyValue("answered", callsAnswered)
                    .addKeyValue("millis", elapsedMillis)
                    .log("rehearsal ended");
            return;
        }
        callsSent++;
        environment.sendCall(
                callsSent,
                callsSent % CALLS_PER_BODY == 0,
                CALL_TIMEOUT_MILLIS,
                new CallListener());
    }

    private void closeEnvironment() {
        if (environment != null) {
            environment.close();
            environment = null;
        }
    }

    /** Sends the next call as soon as one has ended, whether it was answered or failed. */
    private final class CallListener implements SimpleHttpListener {
        @Override
        public void responseReceived(int status, UnaryOperator<String> header, String body) {
            callsAnswered++;
            sendNextCall();
        }

        @Override
        public void failed(boolean sent, IOException cause) {
            LOG.debug("rehearsal call failed", cause);
            sendNextCall();
        }
    }
}
