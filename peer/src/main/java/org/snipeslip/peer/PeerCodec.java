package org.snipeslip.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import org.snipeslip.core.peer.ClaimMessage;
import org.snipeslip.core.peer.ConfigMessage;
import org.snipeslip.core.peer.MembershipMessage;
import org.snipeslip.core.peer.PeerMessage;
import org.snipeslip.peer.proto.Frame;

/** Converts between peer messages and frames. */
public final class PeerCodec {
    /** Version of the protocol; frames of another version are refused. */
    public static final int VERSION = 1;

    /** Maximum size of a frame, without its length prefix. */
    public static final int MAX_FRAME_BYTES = 1 << 20;

    private PeerCodec() {}

    /**
     * Encodes a message as a frame. The size of the frame is not checked.
     *
     * @param message the message to encode
     * @return the frame without its length prefix
     * @throws IllegalArgumentException if a digest in the message is not a SHA-256 in hexadecimal
     */
    public static byte[] encode(PeerMessage message) {
        Frame.Builder frame = Frame.newBuilder().setVersion(VERSION);
        switch (message) {
            case MembershipMessage m -> MembershipCodec.encode(m, frame);
            case ConfigMessage m -> ConfigMessageCodec.encode(m, frame);
            case ClaimMessage m -> ClaimCodec.encode(m, frame);
        }
        return frame.build().toByteArray();
    }

    /**
     * Decodes the message of a frame.
     *
     * @param frame a frame of this protocol version
     * @return the decoded message
     * @throws MalformedFrameException if the body is not a message or one of its fields is invalid
     */
    public static PeerMessage decode(Frame frame) throws MalformedFrameException {
        try {
            return switch (frame.getBodyCase()) {
                case PING, ACK, PING_REQUEST -> MembershipCodec.decode(frame);
                case CONFIG_ANNOUNCE, CONFIG_FETCH, CONFIG_PARTS ->
                        ConfigMessageCodec.decode(frame);
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
     * Parses a frame. Its body is not checked.
     *
     * @param bytes the frame without its length prefix
     * @return the parsed frame
     * @throws MalformedFrameException if the bytes are not a frame of this protocol version
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

    /** Rejects an invalid field; {@link #decode} reports it as a malformed frame. */
    static void require(boolean condition) {
        if (!condition) {
            throw new IllegalArgumentException();
        }
    }
}
