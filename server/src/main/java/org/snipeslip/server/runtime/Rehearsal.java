package org.snipeslip.server.runtime;

import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snipeslip.server.http.HttpMessageListener;
import org.xnio.XnioWorker;

/**
 * Sends calls of its own through all layers of a freshly started process, so that their code is
 * loaded and compiled before the first caller comes. The calls go through a {@link RehearsalStage};
 * callers, backend servers, the store, the decision log and the metrics of the process see nothing
 * of them. It ends after a number of calls, at a time limit, or when the first caller comes.
 */
final class Rehearsal implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Rehearsal.class);

    /**
     * After a power cut of all instances callers come at once, and the process has better things to
     * do; it reads the store in about this time.
     */
    private static final long DELAY_MILLIS = 300;

    /** The virtual machine compiles a method after 200 runs; some run in every other call only. */
    private static final int CALLS = 400;

    /** A caller that finds the instance not ready loses more than slow code costs. */
    private static final long LIMIT_MILLIS = 2_500;

    private static final long CALL_MILLIS = 500;

    /** Most calls have no body. */
    private static final int BODY_EVERY = 4;

    private final DiscoverySettings settings;
    private final XnioWorker worker;
    private final ByteBufferPool buffers;

    /** Used on the I/O thread only, like the counters below it. */
    private RehearsalStage stage;

    private long startNanos;
    private int calls;
    private int answered;
    private volatile boolean done;

    /**
     * Prepares nothing yet, so that the start of the process takes no longer.
     *
     * @param settings settings of the process
     * @param worker runs all work
     * @param buffers buffers of connections
     */
    Rehearsal(DiscoverySettings settings, XnioWorker worker, ByteBufferPool buffers) {
        this.settings = settings;
        this.worker = worker;
        this.buffers = buffers;
    }

    /** Begins after a moment; the calls follow one another on the I/O thread. */
    void start() {
        worker.getIoThread().executeAfter(this::open, DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    boolean isDone() {
        return done;
    }

    /** Ends at once, because a caller came or the process stops. */
    @Override
    public void close() {
        if (!done) {
            done = true;
            worker.getIoThread().execute(this::closeStage);
        }
    }

    /** A process that cannot rehearse serves its first callers more slowly, but serves them. */
    private void open() {
        if (done) {
            return;
        }
        try {
            startNanos = System.nanoTime();
            stage = new RehearsalStage(settings, worker, buffers);
            next();
        } catch (IOException e) {
            done = true;
            LOG.warn("no rehearsal", e);
        }
    }

    private void next() {
        if (done) {
            return;
        }
        long spentMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        if (calls == CALLS || spentMillis >= LIMIT_MILLIS) {
            done = true;
            closeStage();
            LOG.atInfo()
                    .addKeyValue("calls", calls)
                    .addKeyValue("answered", answered)
                    .addKeyValue("millis", spentMillis)
                    .log("rehearsal ended");
            return;
        }
        calls++;
        stage.call(calls, calls % BODY_EVERY == 0, CALL_MILLIS, new Answer());
    }

    private void closeStage() {
        if (stage != null) {
            stage.close();
            stage = null;
        }
    }

    /** Takes the end of one call and sends the next one. */
    private final class Answer implements HttpMessageListener {
        @Override
        public void answered(int status, UnaryOperator<String> header, String body) {
            answered++;
            next();
        }

        @Override
        public void failed(boolean sent, IOException cause) {
            LOG.debug("a call of the rehearsal failed", cause);
            next();
        }
    }
}
