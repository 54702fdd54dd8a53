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

/**
 * Reads the frames of one connection. A frame that violates the protocol is counted as refused and
 * closes the connection.
 */
abstract class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
    static final int PREFIX_BYTES = 4;

    private static final long HANDSHAKE_TIMEOUT_SECONDS = 5;

    final PeerCounters counters;

    FrameHandler(PeerCounters counters) {
        this.counters = counters;
    }

    /** Adds the encoder and decoder of the length prefix, and this handler, to a pipeline. */
    void install(ChannelPipeline pipeline) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(
                        PeerCodec.MAX_FRAME_BYTES + PREFIX_BYTES, 0, PREFIX_BYTES, 0, PREFIX_BYTES),
                new LengthFieldPrepender(PREFIX_BYTES),
                this);
    }

    /**
     * Handles a received frame.
     *
     * @throws MalformedFrameException if the frame violates the protocol; closes the connection
     */
    abstract void handleFrame(ChannelHandlerContext context, byte[] bytes)
            throws MalformedFrameException;

    /** Returns whether the peer has proved that it has the shared key. */
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
                        HANDSHAKE_TIMEOUT_SECONDS,
                        TimeUnit.SECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf buffer)
            throws MalformedFrameException {
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes);
        counters.countBytesIn(bytes.length + PREFIX_BYTES);
        if (context.channel().isActive()) {
            handleFrame(context, bytes);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            counters.countRefusedFrame();
        }
        context.close();
    }

    void write(ChannelHandlerContext context, byte[] bytes) {
        counters.countBytesOut(bytes.length + PREFIX_BYTES);
        context.writeAndFlush(Unpooled.wrappedBuffer(bytes));
    }
}
