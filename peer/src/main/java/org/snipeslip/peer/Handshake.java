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
 * Mutual challenge and response with HMAC-SHA256. A proof covers both challenges, both ids and the
 * role of the prover, so it can be neither replayed nor reflected. It authenticates a connection;
 * it does not encrypt.
 */
final class Handshake {
    private static final int CHALLENGE_BYTES = 16;
    private static final byte[] LISTENER = {'l'};
    private static final byte[] CONNECTOR = {'c'};
    private static final SecureRandom RANDOM = new SecureRandom();

    private final PeerKey key;
    private final InstanceId own;
    private final byte[] challenge = new byte[CHALLENGE_BYTES];
    private InstanceId peer;
    private byte[] peerChallenge;

    Handshake(PeerKey key, InstanceId own) {
        this.key = key;
        this.own = own;
        RANDOM.nextBytes(challenge);
    }

    /** Returns the first frame of the connecting side. */
    byte[] hello() {
        return frame().setHello(
                        Hello.newBuilder()
                                .setId(own.value())
                                .setChallenge(ByteString.copyFrom(challenge)))
                .build()
                .toByteArray();
    }

    /** Answers the first frame, on the listening side. */
    byte[] reply(Frame frame) throws MalformedFrameException {
        requireBody(frame, Frame.BodyCase.HELLO);
        note(frame.getHello().getId(), frame.getHello().getChallenge());
        byte[] proof = proof(LISTENER, own, peer, peerChallenge, challenge);
        return frame().setHelloReply(
                        HelloReply.newBuilder()
                                .setId(own.value())
                                .setChallenge(ByteString.copyFrom(challenge))
                                .setProof(ByteString.copyFrom(proof)))
                .build()
                .toByteArray();
    }

    /** Checks the listening side and returns the proof of the connecting side. */
    byte[] prove(Frame frame) throws MalformedFrameException {
        requireBody(frame, Frame.BodyCase.HELLO_REPLY);
        HelloReply reply = frame.getHelloReply();
        note(reply.getId(), reply.getChallenge());
        check(reply.getProof(), proof(LISTENER, peer, own, challenge, peerChallenge));
        byte[] proof = proof(CONNECTOR, own, peer, challenge, peerChallenge);
        return frame().setHelloProof(HelloProof.newBuilder().setProof(ByteString.copyFrom(proof)))
                .build()
                .toByteArray();
    }

    /** Checks the connecting side and returns its id. */
    InstanceId verify(Frame frame) throws MalformedFrameException {
        requireBody(frame, Frame.BodyCase.HELLO_PROOF);
        check(
                frame.getHelloProof().getProof(),
                proof(CONNECTOR, peer, own, peerChallenge, challenge));
        return peer;
    }

    private byte[] proof(
            byte[] role,
            InstanceId prover,
            InstanceId verifier,
            byte[] connectorChallenge,
            byte[] listenerChallenge) {
        return key.prove(
                role,
                prover.value().getBytes(StandardCharsets.UTF_8),
                verifier.value().getBytes(StandardCharsets.UTF_8),
                connectorChallenge,
                listenerChallenge);
    }

    private void note(String id, ByteString sentChallenge) throws MalformedFrameException {
        if (id.isBlank() || sentChallenge.size() != CHALLENGE_BYTES) {
            throw new MalformedFrameException(MalformedFrameException.Fault.FIELD);
        }
        peer = new InstanceId(id);
        peerChallenge = sentChallenge.toByteArray();
    }

    private static void check(ByteString proof, byte[] expected) throws MalformedFrameException {
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

    private static Frame.Builder frame() {
        return Frame.newBuilder().setVersion(PeerCodec.VERSION);
    }
}
