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
 * Writes one JSON line per decision on a thread of its own. A full queue drops lines and counts
 * them, so a slow log target never delays a call.
 */
public final class DecisionLog implements AutoCloseable {
    /** Name of the logger that takes the lines. */
    public static final String LOGGER = "snipeslip.decision";

    /** The writer polls; a wake-up per line would cost the request thread a system call. */
    private static final long POLL_NANOS = 5_000_000;

    private static final long CLOSE_MILLIS = 2_000;
    private static final int BATCH = 256;
    private static final double HASHES = 1L << 32;

    private final BlockingQueue<DecisionRecord> queue;
    private final long hashesLogged;
    private final LongAdder dropped = new LongAdder();
    private final Thread writer;
    private final Consumer<Map<String, Object>> target;
    private volatile boolean closed;

    /**
     * Starts the writer.
     *
     * @param settings its settings
     */
    public DecisionLog(DecisionLogSettings settings) {
        this(settings, DecisionLog::writeLine);
    }

    DecisionLog(DecisionLogSettings settings, Consumer<Map<String, Object>> target) {
        this.queue = new ArrayBlockingQueue<>(settings.queueLines());
        this.hashesLogged = (long) (settings.share() * HASHES);
        this.target = target;
        this.writer = Thread.ofPlatform().name("decision-log").daemon().start(this::write);
    }

    /**
     * Takes a decision; never blocks on the log target.
     *
     * @param decision the decision
     */
    public void add(DecisionRecord decision) {
        if (isSampled(decision) && !queue.offer(decision)) {
            dropped.increment();
        }
    }

    /**
     * Counts the lines that were dropped because the queue was full.
     *
     * @return lines since the start
     */
    public long droppedLines() {
        return dropped.sum();
    }

    /** Writes what waits, for a bounded time. */
    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(writer);
        try {
            writer.join(CLOSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** All decisions of one call are logged or none, so that a logged call is complete. */
    private boolean isSampled(DecisionRecord decision) {
        // The multiplication spreads the hashes of consecutive request ids over the range.
        int mixed = decision.request().value().hashCode() * 0x9E3779B9;
        return Integer.toUnsignedLong(mixed) < hashesLogged;
    }

    private void write() {
        List<DecisionRecord> batch = new ArrayList<>(BATCH);
        while (true) {
            boolean last = closed;
            while (queue.drainTo(batch, BATCH) > 0) {
                batch.forEach(decision -> target.accept(DecisionFields.of(decision)));
                batch.clear();
            }
            if (last) {
                return;
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private static void writeLine(Map<String, Object> fields) {
        LoggingEventBuilder line = Target.LOG.atInfo();
        for (Map.Entry<String, Object> field : fields.entrySet()) {
            line = line.addKeyValue(field.getKey(), field.getValue());
        }
        line.log("decision");
    }

    /** Defers the logger until the first line, so that tests with their own target need none. */
    private static final class Target {
        private static final Logger LOG = LoggerFactory.getLogger(LOGGER);
    }
}
