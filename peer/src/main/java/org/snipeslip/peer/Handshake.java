package org.snipeslip.peer;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.peer.proto.Frame;
import org.snipeslip.peer.proto.Hello;
import org.snipeslip.peer.proto.HelloProof;
import org.snipeslip.peer.proto.HelloReply;

/**
 * Mutual challenge-response authentication with HMAC-SHA256. A proof covers both challenges, both
 * ids and the role of the prover, so that it can be neither replayed nor reflected. The handshake
 * authenticates a connection but does not encrypt it.
 */
final class Handshake {
    private static final int CHALLENGE_BYTES = 16;
    private static final byte[] LISTENER = {'l'};
    private static final byte[] CONNECTOR = {'c'};
    private static final SecureRandom RANDOM = new SecureRandom();

    private final PeerKey key;
    private final InstanceId ownId;
    private final byte[] challenge = new byte[CHALLENGE_BYTES];
    private InstanceId peer;
    private byte[] peerChallenge;

    Handshake(PeerKey key, InstanceId ownId) {
        this.key = key;
        this.ownId = ownId;
        RANDOM.nextBytes(challenge);
    }

    /** Returns the first frame of the connecting side. */
    byte[] hello() {
        return newFrame()
                .setHello(
                        Hello.newBuilder()
                                .setId(ownId.value())
                                .setChallenge(ByteString.copyFrom(challenge)))
                .build()
                .toByteArray();
    }

    /** Returns the reply of the listening side to the first frame, with its proof. */
    byte[] answerHello(Frame frame) throws MalformedFrameException {
        requireBody(frame, Frame.BodyCase.HELLO);
        setPeer(frame.getHello().getId(), frame.getHello().getChallenge());
        byte[] proof = computeProof(LISTENER, ownId, peer, peerChallenge, challenge);
        return newFrame()
                .setHelloReply(
                        HelloReply.newBuilder()
                                .setId(ownId.value())
                                .setChallenge(ByteString.copyFrom(challenge))
                                .setProof(ByteString.copyFrom(proof)))
                .build()
                .toByteArray();
    }

    /** Verifies the proof of the listening side and returns that of the connecting side. */
    byte[] answerReply(Frame frame) throws MalformedFrameException {
        requireBody(frame, Frame.BodyCase.HELLO_REPLY);
        HelloReply reply = frame.getHelloReply();
        setPeer(reply.getId(), reply.getChallenge());
        requireProof(
                reply.getProof(), computeProof(LISTENER, peer, ownId, challenge, peerChallenge));
        byte[] proof = computeProof(CONNECTOR, ownId, peer, challenge, peerChallenge);
        return newFrame()
                .setHelloProof(HelloProof.newBuilder().setProof(ByteString.copyFrom(proof)))
                .build()
                .toByteArray();
    }

    /** Verifies the proof of the connecting side and returns the id of that side. */
    InstanceId verifyProof(Frame frame) throws MalformedFrameException {
        requireBody(frame, Frame.BodyCase.HELLO_PROOF);
        requireProof(
                frame.getHelloProof().getProof(),
                computeProof(CONNECTOR, peer, ownId, peerChallenge, challenge));
        return peer;
    }

    private byte[] computeProof(
            byte[] role,
            InstanceId prover,
            InstanceId verifier,
            byte[] connectorChallenge,
            byte[] listenerChallenge) {
        return key.hmac(
                role,
                prover.value().getBytes(StandardCharsets.UTF_8),
                verifier.value().getBytes(StandardCharsets.UTF_8),
                connectorChallenge,
                listenerChallenge);
    }

    private void setPeer(String id, ByteString receivedChallenge) throws MalformedFrameException {
        if (id.isBlank() || receivedChallenge.size() != CHALLENGE_BYTES) {
            throw new MalformedFrameException(MalformedFrameException.Fault.FIELD);
        }
        peer = new InstanceId(id);
        peerChallenge = receivedChallenge.toByteArray();
    }

    private static void requireProof(ByteString proof, byte[] expected)
            throws MalformedFrameException {
        if (!MessageDigest.isEqual(proof.toByteArray(), expected)) {
            throw new MalformedFrameException(MalformedFrameException.Fault.PROOF);
        }
    }

    private static void requireBody(Frame frame, Frame.BodyCase body)
            throws MalformedFrameException {
        if (frame.getBodyCase() != body) {
            throw new MalformedFrameException(MalformedFrameException.Fault.UNEXPECTED_BODY);
        }
    }

    private static Frame.Builder newFrame() {
        return Frame.newBuilder().setVersion(PeerCodec.VERSION);
    }
}
