package org.snipeslip.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.snipeslip.core.peer.PeerAddress;

/**
 * The outgoing connection to one peer. Its queue is bounded by messages and by bytes. Messages that
 * exceed a bound, and queued messages when the connection fails, are dropped and counted; senders
 * repeat the messages that matter. Apart from {@link #send}, everything runs on the event loop.
 */
final class PeerConnection {
    /** Maximum number of messages that wait for the connection. */
    static final int MAX_QUEUED_MESSAGES = 1_024;

    private static final long MAX_QUEUED_BYTES = 4L << 20;
    private static final long BACK_OFF_MIN_MILLIS = 100;
    private static final long BACK_OFF_MAX_MILLIS = 5_000;
    private static final int MAX_DOUBLINGS = 10;

    private final PeerAddress address;
    private final Bootstrap bootstrap;
    private final EventLoop loop;
    private final PeerCounters counters;
    private final Supplier<Handshake> handshakeFactory;
    private final AtomicInteger pendingHandoffs = new AtomicInteger();
    private final Deque<byte[]> queue = new ArrayDeque<>();
    private long queuedBytes;
    private Channel channel;
    private boolean authenticated;
    private boolean backingOff;
    private int failures;

    PeerConnection(
            PeerAddress address,
            Bootstrap bootstrap,
            EventLoop loop,
            PeerCounters counters,
            Supplier<Handshake> handshakeFactory) {
        this.address = address;
        this.bootstrap = bootstrap;
        this.loop = loop;
        this.counters = counters;
        this.handshakeFactory = handshakeFactory;
    }

    /**
     * Queues a frame, or drops and counts it if the queue is full or too many frames wait for the
     * event loop. May be called by any thread.
     */
    void send(byte[] bytes) {
        if (pendingHandoffs.incrementAndGet() > MAX_QUEUED_MESSAGES) {
            pendingHandoffs.decrementAndGet();
            counters.countDropped(1);
            return;
        }
        loop.execute(
                () -> {
                    pendingHandoffs.decrementAndGet();
                    enqueue(bytes);
                });
    }

    private void enqueue(byte[] bytes) {
        if (queue.size() >= MAX_QUEUED_MESSAGES || queuedBytes + bytes.length > MAX_QUEUED_BYTES) {
            counters.countDropped(1);
            return;
        }
        queue.add(bytes);
        queuedBytes += bytes.length;
        if (channel == null && !backingOff) {
            connect();
        } else {
            flush();
        }
    }

    private void connect() {
        ChannelFuture future =
                bootstrap
                        .clone(loop)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel created) {
                                        new OutboundHandler(handshakeFactory.get())
                                                .install(created.pipeline());
                                    }
                                })
                        .connect(address.host(), address.port());
        channel = future.channel();
        channel.closeFuture().addListener(closed -> handleClose());
        future.addListener(
                connected -> {
                    if (!connected.isSuccess()) {
                        future.channel().close();
                    }
                });
    }

    private void handleClose() {
        counters.countDropped(queue.size());
        queue.clear();
        queuedBytes = 0;
        authenticated = false;
        channel = null;
        backingOff = true;
        long ceilingMillis =
                Math.min(
                        BACK_OFF_MAX_MILLIS,
                        BACK_OFF_MIN_MILLIS << Math.min(failures++, MAX_DOUBLINGS));
        long delayMillis = ThreadLocalRandom.current().nextLong(1 + ceilingMillis);
        if (!loop.isShuttingDown()) {
            loop.schedule(this::endBackOff, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void endBackOff() {
        backingOff = false;
        if (!queue.isEmpty()) {
            connect();
        }
    }

    private void flush() {
        if (!authenticated) {
            return;
        }
        boolean wrote = false;
        while (!queue.isEmpty() && channel.isWritable()) {
            byte[] bytes = queue.remove();
            queuedBytes -= bytes.length;
            counters.countBytesOut(bytes.length + FrameHandler.PREFIX_BYTES);
            counters.countMessageOut();
            channel.write(Unpooled.wrappedBuffer(bytes));
            wrote = true;
        }
        if (wrote) {
            channel.flush();
        }
    }

    /**
     * The connecting side of a connection: authenticates both sides, then only sends. Messages from
     * the peer violate the protocol.
     */
    private final class OutboundHandler extends FrameHandler {
        private final Handshake handshake;

        OutboundHandler(Handshake handshake) {
            super(PeerConnection.this.counters);
            this.handshake = handshake;
        }

        @Override
        boolean isAuthenticated() {
            return authenticated;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            super.channelActive(context);
            write(context, handshake.hello());
        }

        @Override
        void handleFrame(ChannelHandlerContext context, byte[] bytes)
                throws MalformedFrameException {
            if (authenticated) {
                throw new MalformedFrameException(MalformedFrameException.Fault.UNEXPECTED_BODY);
            }
            write(context, handshake.answerReply(PeerCodec.parse(bytes)));
            authenticated = true;
            failures = 0;
            flush();
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            flush();
        }
    }
}
