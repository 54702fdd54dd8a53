package org.snipeslip.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** Reads frames of one connection; refuses and counts what breaks the protocol, and closes. */
abstract class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
    static final int PREFIX_BYTES = 4;

    private static final long HANDSHAKE_SECONDS = 5;

    final PeerCounters counters;

    FrameHandler(PeerCounters counters) {
        this.counters = counters;
    }

    /** Puts the framing and this handler into a pipeline. */
    void install(ChannelPipeline pipeline) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(
                        PeerCodec.MAX_FRAME_BYTES + PREFIX_BYTES, 0, PREFIX_BYTES, 0, PREFIX_BYTES),
                new LengthFieldPrepender(PREFIX_BYTES),
                this);
    }

    /** Takes the bytes of a frame. */
    abstract void frame(ChannelHandlerContext context, byte[] bytes) throws MalformedFrameException;

    /** Tells whether the peer proved that it has the key. */
    abstract boolean isAuthenticated();

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.executor()
                .schedule(
                        () -> {
                            if (!isAuthenticated()) {
                                context.close();
                            }
                        },
                        HANDSHAKE_SECONDS,
                        TimeUnit.SECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf buffer)
            throws MalformedFrameException {
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes);
        counters.countIn(bytes.length + PREFIX_BYTES);
        if (context.channel().isActive()) {
            frame(context, bytes);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            counters.countRefused();
        }
        context.close();
    }

    void write(ChannelHandlerContext context, byte[] bytes) {
        counters.countOut(bytes.length + PREFIX_BYTES);
        context.writeAndFlush(Unpooled.wrappedBuffer(bytes));
    }
}
