package org.snipeslip.peer;

import io.netty.channel.ChannelHandlerContext;
import java.util.function.BiConsumer;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.peer.PeerMessage;
import org.snipeslip.peer.proto.Frame;

/**
 * The listening side of a connection: authenticates itself and the peer, then passes the messages
 * of the peer to the receiver.
 */
final class InboundHandler extends FrameHandler {
    private final Handshake handshake;
    private final BiConsumer<InstanceId, PeerMessage> receiver;
    private boolean replied;
    private InstanceId peer;

    InboundHandler(
            Handshake handshake,
            PeerCounters counters,
            BiConsumer<InstanceId, PeerMessage> receiver) {
        super(counters);
        this.handshake = handshake;
        this.receiver = receiver;
    }

    @Override
    boolean isAuthenticated() {
        return peer != null;
    }

    @Override
    void handleFrame(ChannelHandlerContext context, byte[] bytes) throws MalformedFrameException {
        Frame frame = PeerCodec.parse(bytes);
        if (!replied) {
            byte[] reply = handshake.answerHello(frame);
            replied = true;
            write(context, reply);
        } else if (peer == null) {
            peer = handshake.verifyProof(frame);
        } else {
            PeerMessage message = PeerCodec.decode(frame);
            counters.countMessageIn();
            receiver.accept(peer, message);
        }
    }
}
