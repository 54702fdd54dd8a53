package org.snipeslip.peer;

import java.util.concurrent.atomic.LongAdder;

/** Counts of a transport since its start. */
public final class PeerCounters {
    private final LongAdder messagesIn = new LongAdder();
    private final LongAdder messagesOut = new LongAdder();
    private final LongAdder bytesIn = new LongAdder();
    private final LongAdder bytesOut = new LongAdder();
    private final LongAdder dropped = new LongAdder();
    private final LongAdder refusedFrames = new LongAdder();

    /** Creates counters at zero. */
    PeerCounters() {}

    /**
     * Returns the messages received.
     *
     * @return their number, handshakes excluded
     */
    public long messagesIn() {
        return messagesIn.sum();
    }

    /**
     * Returns the messages handed to connections.
     *
     * @return their number, handshakes excluded
     */
    public long messagesOut() {
        return messagesOut.sum();
    }

    /**
     * Returns the bytes received in frames.
     *
     * @return their number, length prefixes and handshakes included
     */
    public long bytesIn() {
        return bytesIn.sum();
    }

    /**
     * Returns the bytes sent in frames.
     *
     * @return their number, length prefixes and handshakes included
     */
    public long bytesOut() {
        return bytesOut.sum();
    }

    /**
     * Returns the messages dropped because a queue was full or a connection failed.
     *
     * @return their number
     */
    public long dropped() {
        return dropped.sum();
    }

    /**
     * Returns the frames refused; each closed its connection.
     *
     * @return their number
     */
    public long refusedFrames() {
        return refusedFrames.sum();
    }

    void countIn(long sizeBytes) {
        bytesIn.add(sizeBytes);
    }

    void countOut(long sizeBytes) {
        bytesOut.add(sizeBytes);
    }

    void countMessageIn() {
        messagesIn.increment();
    }

    void countMessageOut() {
        messagesOut.increment();
    }

    void countDropped(long messages) {
        dropped.add(messages);
    }

    void countRefused() {
        refusedFrames.increment();
    }
}
