package org.snipeslip.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.peer.ConfigMessage;
import org.snipeslip.core.peer.PeerAddress;
import org.snipeslip.core.peer.PeerMessage;
import org.snipeslip.peer.proto.Frame;

/** Guards against peers without the key and frames that violate the protocol, over loopback. */
class PeerTransportTest {
    private static final PeerKey KEY = new PeerKey("a key of at least 16 bytes");
    private static final PeerAddress ANY = new PeerAddress("127.0.0.1", 0);
    private static final InstanceId A = new InstanceId("a");
    private static final InstanceId B = new InstanceId("b");

    private final BlockingQueue<Received> received = new LinkedBlockingQueue<>();
    private final PeerTransport listener = new PeerTransport();
    private PeerAddress address;

    /** Protocol violations, after a valid handshake or instead of one. */
    enum Violation {
        NO_HANDSHAKE,
        GARBAGE,
        TOO_LONG,
        OTHER_VERSION,
        NO_BODY,
        WRONG_KEY,
        REFLECTED_PROOF,
        SECOND_HANDSHAKE,
        GARBAGE_AFTER_HANDSHAKE
    }

    private record Received(InstanceId from, PeerMessage message) {}

    @BeforeEach
    void listen() {
        address = listener.start(ANY, A, KEY, (from, m) -> received.add(new Received(from, m)));
    }

    @AfterEach
    void close() {
        listener.close();
    }

    static List<PeerMessage> messages() {
        return PeerCodecTest.messages().toList();
    }

    @ParameterizedTest
    @MethodSource("messages")
    void deliversEachMessageWithItsAuthenticatedSender(PeerMessage message)
            throws InterruptedException {
        try (PeerTransport sender = new PeerTransport()) {
            sender.start(ANY, B, KEY, (from, m) -> {});
            sender.send(address, message);
            assertThat(received.take()).isEqualTo(new Received(B, message));
            assertThat(sender.counters().messagesOut()).isEqualTo(1);
            assertThat(listener.counters().messagesIn()).isEqualTo(1);
            assertThat(listener.counters().bytesIn()).isEqualTo(sender.counters().bytesOut());
        }
    }

    @ParameterizedTest
    @EnumSource(Violation.class)
    void countsProtocolViolationAndClosesConnection(Violation violation) throws Exception {
        try (Socket socket = new Socket(address.host(), address.port())) {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            DataInputStream in = new DataInputStream(socket.getInputStream());
            sendViolation(violation, out, in);
            awaitPeerClose(in);
        }
        assertThat(listener.counters().refusedFrames()).isEqualTo(1);
        assertThat(received).isEmpty();
    }

    /** Guards against sending messages to a listener that does not have the key. */
    @Test
    void sendsNoMessageToListenerWithAnotherKey() throws IOException {
        PeerKey other = new PeerKey("another key of 16 bytes or more");
        try (PeerTransport sender = new PeerTransport()) {
            sender.start(ANY, B, other, (from, m) -> {});
            sender.send(address, announcement());
            while (sender.counters().dropped() == 0) {
                Thread.onSpinWait();
            }
            assertThat(sender.counters().messagesOut()).isZero();
            assertThat(sender.counters().refusedFrames()).isEqualTo(1);
        }
        assertThat(received).isEmpty();
    }

    /** Guards against unbounded memory for messages to a peer that does not answer. */
    @Test
    void dropsAndCountsMessagesBeyondQueueLimit() throws IOException {
        int extra = 500;
        try (ServerSocket silent = new ServerSocket(0);
                PeerTransport sender = new PeerTransport()) {
            sender.start(ANY, B, KEY, (from, m) -> {});
            PeerAddress to = new PeerAddress("127.0.0.1", silent.getLocalPort());
            for (int i = 0; i < PeerConnection.MAX_QUEUED_MESSAGES + extra; i++) {
                sender.send(to, announcement());
            }
            while (sender.counters().dropped() < extra) {
                Thread.onSpinWait();
            }
            assertThat(sender.counters().messagesOut()).isZero();
        }
    }

    private static void sendViolation(Violation violation, DataOutputStream out, DataInputStream in)
            throws Exception {
        Handshake handshake = new Handshake(KEY, B);
        switch (violation) {
            case NO_HANDSHAKE -> write(out, PeerCodec.encode(announcement()));
            case GARBAGE -> write(out, "GET / HTTP/1.1".getBytes(StandardCharsets.US_ASCII));
            case TOO_LONG -> out.writeInt(PeerCodec.MAX_FRAME_BYTES + 1);
            case OTHER_VERSION ->
                    write(out, Frame.parseFrom(handshake.hello()).toBuilder().setVersion(2));
            case NO_BODY -> write(out, Frame.newBuilder().setVersion(PeerCodec.VERSION));
            case WRONG_KEY -> {
                write(out, handshake.hello());
                byte[] reply = read(in);
                Frame.Builder proof =
                        Frame.parseFrom(handshake.answerReply(parse(reply))).toBuilder();
                byte[] damaged = proof.getHelloProof().getProof().toByteArray();
                damaged[0]++;
                proof.getHelloProofBuilder().setProof(ByteString.copyFrom(damaged));
                write(out, proof);
            }
            case REFLECTED_PROOF -> {
                write(out, handshake.hello());
                Frame reply = parse(read(in));
                Frame.Builder proof = Frame.newBuilder().setVersion(PeerCodec.VERSION);
                proof.getHelloProofBuilder().setProof(reply.getHelloReply().getProof());
                write(out, proof);
            }
            case SECOND_HANDSHAKE -> {
                completeHandshake(handshake, out, in);
                write(out, handshake.hello());
            }
            default -> {
                completeHandshake(handshake, out, in);
                byte[] garbage = new byte[64];
                Arrays.fill(garbage, (byte) 0xff);
                write(out, garbage);
            }
        }
    }

    private static void completeHandshake(
            Handshake handshake, DataOutputStream out, DataInputStream in) throws Exception {
        write(out, handshake.hello());
        write(out, handshake.answerReply(parse(read(in))));
    }

    private static Frame parse(byte[] bytes) throws MalformedFrameException {
        return PeerCodec.parse(bytes);
    }

    private static void write(DataOutputStream out, Frame.Builder frame) throws IOException {
        write(out, frame.build().toByteArray());
    }

    private static void write(DataOutputStream out, byte[] bytes) throws IOException {
        out.writeInt(bytes.length);
        out.write(bytes);
        out.flush();
    }

    private static byte[] read(DataInputStream in) throws IOException {
        byte[] bytes = new byte[in.readInt()];
        in.readFully(bytes);
        return bytes;
    }

    /** Returns only when the listener has closed the connection. */
    private static void awaitPeerClose(DataInputStream in) {
        try {
            while (in.read() >= 0) {
                Thread.onSpinWait();
            }
        } catch (IOException e) {
            // A reset by the listener also counts as closed.
        }
    }

    private static PeerMessage announcement() {
        return new ConfigMessage.ConfigAnnounce(new Generation(3));
    }
}
