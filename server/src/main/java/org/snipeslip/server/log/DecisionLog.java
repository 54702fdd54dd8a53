package org.snipeslip.server.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import org.snipeslip.core.call.DecisionRecord;

/**
 * Logs one line per decision, written by a separate thread. If its queue is full, lines are dropped
 * and counted, so that a slow log target never delays a call.
 */
public final class DecisionLog implements AutoCloseable {
    /** Name of the logger that receives the lines. */
    public static final String LOGGER_NAME = "snipeslip.decision";

    /** The writer polls, because a wake-up per line would cost the calling thread a system call. */
    private static final long POLL_INTERVAL_NANOS = 5_000_000;

    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;
    private static final int BATCH = 256;
    private static final double HASH_VALUES = 1L << 32;

    private final BlockingQueue<DecisionRecord> queue;
    private final long sampledHashValues;
    private final LongAdder droppedLines = new LongAdder();
    private final Thread writerThread;
    private final Consumer<Map<String, Object>> lineWriter;
    private volatile boolean closed;

    /**
     * Starts the writer thread, which runs until {@link #close}.
     *
     * @param settings sampling ratio and queue size
     */
    public DecisionLog(DecisionLogSettings settings) {
        this(settings, DecisionLog::writeLine);
    }

    DecisionLog(DecisionLogSettings settings, Consumer<Map<String, Object>> lineWriter) {
        this.queue = new ArrayBlockingQueue<>(settings.queueLines());
        this.sampledHashValues = (long) (settings.sampleRatio() * HASH_VALUES);
        this.lineWriter = lineWriter;
        this.writerThread =
                Thread.ofPlatform().name("decision-log").daemon().start(this::writeQueuedLines);
    }

    /**
     * Queues a decision if its call is sampled; never blocks.
     *
     * @param decision the decision
     */
    public void add(DecisionRecord decision) {
        if (isSampled(decision) && !queue.offer(decision)) {
            droppedLines.increment();
        }
    }

    /**
     * Returns the number of lines that were dropped because the queue was full.
     *
     * @return dropped lines since the start
     */
    public long droppedLines() {
        return droppedLines.sum();
    }

    /** Writes the queued lines and ends the writer thread; waits at most two seconds for that. */
    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(writerThread);
        try {
            writerThread.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Samples by call: either all decisions of a call are logged or none, so that logged calls are
     * complete.
     */
    private boolean isSampled(DecisionRecord decision) {
        // The multiplication spreads the hashes of consecutive request ids over the range.
        int mixedHash = decision.request().value().hashCode() * 0x9E3779B9;
        return Integer.toUnsignedLong(mixedHash) < sampledHashValues;
    }

    private void writeQueuedLines() {
        List<DecisionRecord> batch = new ArrayList<>(BATCH);
        while (true) {
            boolean lastPass = closed;
            while (queue.drainTo(batch, BATCH) > 0) {
                batch.forEach(decision -> lineWriter.accept(DecisionFields.of(decision)));
                batch.clear();
            }
            if (lastPass) {
                return;
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }

    private static void writeLine(Map<String, Object> fields) {
        LoggingEventBuilder line = LoggerHolder.LOG.atInfo();
        for (Map.Entry<String, Object> field : fields.entrySet()) {
            line = line.addKeyValue(field.getKey(), field.getValue());
        }
        line.log("decision");
    }

    /**
     * Creates the logger only for the first line, so that tests with their own writer need none.
     */
    private static final class LoggerHolder {
        private static final Logger LOG = LoggerFactory.getLogger(LOGGER_NAME);
    }
}
