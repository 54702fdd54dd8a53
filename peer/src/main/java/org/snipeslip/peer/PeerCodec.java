package org.snipeslip.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import org.snipeslip.core.peer.ClaimMessage;
import org.snipeslip.core.peer.MembershipMessage;
import org.snipeslip.core.peer.PeerMessage;
import org.snipeslip.core.peer.SpreadMessage;
import org.snipeslip.peer.proto.Frame;

/** Converts between peer messages and frames. */
public final class PeerCodec {
    /** Version of the protocol; frames of another version are refused. */
    public static final int VERSION = 1;

    /** Bound on the bytes of a frame. */
    public static final int MAX_FRAME_BYTES = 1 << 20;

    private PeerCodec() {}

    /**
     * Writes a message.
     *
     * @param message the message
     * @return bytes of its frame
     * @throws IllegalArgumentException if a digest in it is no SHA-256 in hexadecimal
     */
    public static byte[] encode(PeerMessage message) {
        Frame.Builder frame = Frame.newBuilder().setVersion(VERSION);
        switch (message) {
            case MembershipMessage m -> MembershipCodec.encode(m, frame);
            case SpreadMessage m -> SpreadCodec.encode(m, frame);
            case ClaimMessage m -> ClaimCodec.encode(m, frame);
        }
        return frame.build().toByteArray();
    }

    /**
     * Reads a message.
     *
     * @param frame a frame of this version
     * @return the message
     * @throws MalformedFrameException if the frame holds no valid message
     */
    public static PeerMessage decode(Frame frame) throws MalformedFrameException {
        try {
            return switch (frame.getBodyCase()) {
                case PING, ACK, PING_REQUEST -> MembershipCodec.decode(frame);
                case CONFIG_ANNOUNCE, CONFIG_FETCH, CONFIG_PARTS -> SpreadCodec.decode(frame);
                case CLAIM_ASK, CLAIM_REPLY, CLAIM_OUTCOME, OWNERSHIP_HANDOVER ->
                        ClaimCodec.decode(frame);
                default ->
                        throw new MalformedFrameException(
                                MalformedFrameException.Fault.UNEXPECTED_BODY);
            };
        } catch (IllegalArgumentException e) {
            throw new MalformedFrameException(MalformedFrameException.Fault.FIELD);
        }
    }

    /**
     * Reads a frame.
     *
     * @param bytes its bytes
     * @return the frame
     * @throws MalformedFrameException if the bytes are no frame of this version
     */
    public static Frame parse(byte[] bytes) throws MalformedFrameException {
        Frame frame;
        try {
            frame = Frame.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new MalformedFrameException(MalformedFrameException.Fault.SYNTAX);
        }
        if (frame.getVersion() != VERSION) {
            throw new MalformedFrameException(MalformedFrameException.Fault.VERSION);
        }
        return frame;
    }

    static void require(boolean condition) {
        if (!condition) {
            throw new IllegalArgumentException();
        }
    }
}
