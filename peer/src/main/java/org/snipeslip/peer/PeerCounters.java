package org.snipeslip.peer;

import java.util.concurrent.atomic.LongAdder;

/** Counters of a transport since its start. */
public final class PeerCounters {
    private final LongAdder messagesIn = new LongAdder();
    private final LongAdder messagesOut = new LongAdder();
    private final LongAdder bytesIn = new LongAdder();
    private final LongAdder bytesOut = new LongAdder();
    private final LongAdder dropped = new LongAdder();
    private final LongAdder refusedFrames = new LongAdder();

    PeerCounters() {}

    /**
     * Returns the number of messages received.
     *
     * @return the number, without frames of handshakes
     */
    public long messagesIn() {
        return messagesIn.sum();
    }

    /**
     * Returns the number of messages written to connections.
     *
     * @return the number, without frames of handshakes
     */
    public long messagesOut() {
        return messagesOut.sum();
    }

    /**
     * Returns the number of bytes received in frames.
     *
     * @return the number, with length prefixes and handshakes
     */
    public long bytesIn() {
        return bytesIn.sum();
    }

    /**
     * Returns the number of bytes sent in frames.
     *
     * @return the number, with length prefixes and handshakes
     */
    public long bytesOut() {
        return bytesOut.sum();
    }

    /**
     * Returns the number of messages that were not sent.
     *
     * @return the number of messages dropped because a queue or the connection limit was exceeded,
     *     a connection failed, the message could not be encoded or the transport was not started
     */
    public long dropped() {
        return dropped.sum();
    }

    /**
     * Returns the number of frames refused because they violated the protocol.
     *
     * @return the number; each of them closed its connection
     */
    public long refusedFrames() {
        return refusedFrames.sum();
    }

    void countBytesIn(long sizeBytes) {
        bytesIn.add(sizeBytes);
    }

    void countBytesOut(long sizeBytes) {
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

    void countRefusedFrame() {
        refusedFrames.increment();
    }
}
