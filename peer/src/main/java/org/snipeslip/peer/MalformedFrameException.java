package org.snipeslip.peer;

/** A frame that does not follow the peer protocol. */
public final class MalformedFrameException extends Exception {
    /** What is wrong with a frame. */
    public enum Fault {
        /** The bytes are no protobuf frame. */
        SYNTAX,
        /** The protocol version differs. */
        VERSION,
        /** The frame has no body, or one that is not allowed now. */
        UNEXPECTED_BODY,
        /** A field is missing or out of its range. */
        FIELD,
        /** A proof does not match the shared key. */
        PROOF
    }

    private final transient Fault fault;

    /**
     * Creates an exception.
     *
     * @param fault what is wrong
     */
    public MalformedFrameException(Fault fault) {
        super(fault.name());
        this.fault = fault;
    }

    /**
     * Returns what is wrong.
     *
     * @return the fault
     */
    public Fault fault() {
        return fault;
    }
}
