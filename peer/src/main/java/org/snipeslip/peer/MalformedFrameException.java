package org.snipeslip.peer;

/** Thrown if a frame violates the peer protocol. */
public final class MalformedFrameException extends Exception {
    /** Kind of the violation. */
    public enum Fault {
        /** The bytes are not a frame encoded with protobuf. */
        SYNTAX,
        /** The frame has a different protocol version. */
        VERSION,
        /** The frame has no body, or one that is not allowed in this state of the connection. */
        UNEXPECTED_BODY,
        /** A field is missing or its value is not allowed. */
        FIELD,
        /** A proof does not match the shared key. */
        PROOF
    }

    private final transient Fault fault;

    /**
     * Creates an exception whose message is the name of the fault.
     *
     * @param fault kind of the violation
     */
    public MalformedFrameException(Fault fault) {
        super(fault.name());
        this.fault = fault;
    }

    /**
     * Returns the kind of the violation.
     *
     * @return the fault; null after deserialisation
     */
    public Fault fault() {
        return fault;
    }
}
