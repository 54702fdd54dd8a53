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
 * The outgoing connection to one peer. Its queue is bounded by messages and bytes; beyond that, and
 * when a connection fails, messages are dropped and counted, since peers repeat what matters. The
 * state belongs to the event loop.
 */
final class PeerConnection {
    /** Bound on the messages that wait for the connection. */
    static final int QUEUE_MESSAGES = 1_024;

    private static final long QUEUE_BYTES = 4L << 20;
    private static final long BACK_OFF_MIN_MILLIS = 100;
    private static final long BACK_OFF_MAX_MILLIS = 5_000;
    private static final int MAX_DOUBLINGS = 10;

    private final PeerAddress address;
    private final Bootstrap bootstrap;
    private final EventLoop loop;
    private final PeerCounters counters;
    private final Supplier<Handshake> handshakes;
    private final AtomicInteger handedOver = new AtomicInteger();
    private final Deque<byte[]> queue = new ArrayDeque<>();
    private long queuedBytes;
    private Channel channel;
    private boolean ready;
    private boolean waiting;
    private int failures;

    PeerConnection(
            PeerAddress address,
            Bootstrap bootstrap,
            EventLoop loop,
            PeerCounters counters,
            Supplier<Handshake> handshakes) {
        this.address = address;
        this.bootstrap = bootstrap;
        this.loop = loop;
        this.counters = counters;
        this.handshakes = handshakes;
    }

    /** Queues a frame; may be called by any thread. */
    void send(byte[] bytes) {
        if (handedOver.incrementAndGet() > QUEUE_MESSAGES) {
            handedOver.decrementAndGet();
            counters.countDropped(1);
            return;
        }
        loop.execute(
                () -> {
                    handedOver.decrementAndGet();
                    enqueue(bytes);
                });
    }

    private void enqueue(byte[] bytes) {
        if (queue.size() >= QUEUE_MESSAGES || queuedBytes + bytes.length > QUEUE_BYTES) {
            counters.countDropped(1);
            return;
        }
        queue.add(bytes);
        queuedBytes += bytes.length;
        if (channel == null && !waiting) {
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
                                        new OutboundHandler(handshakes.get())
                                                .install(created.pipeline());
                                    }
                                })
                        .connect(address.host(), address.port());
        channel = future.channel();
        channel.closeFuture().addListener(closed -> failed());
        future.addListener(
                connected -> {
                    if (!connected.isSuccess()) {
                        future.channel().close();
                    }
                });
    }

    private void failed() {
        counters.countDropped(queue.size());
        queue.clear();
        queuedBytes = 0;
        ready = false;
        channel = null;
        waiting = true;
        long ceilingMillis =
                Math.min(
                        BACK_OFF_MAX_MILLIS,
                        BACK_OFF_MIN_MILLIS << Math.min(failures++, MAX_DOUBLINGS));
        long delayMillis = ThreadLocalRandom.current().nextLong(1 + ceilingMillis);
        if (!loop.isShuttingDown()) {
            loop.schedule(this::waited, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void waited() {
        waiting = false;
        if (!queue.isEmpty()) {
            connect();
        }
    }

    private void flush() {
        if (!ready) {
            return;
        }
        boolean wrote = false;
        while (!queue.isEmpty() && channel.isWritable()) {
            byte[] bytes = queue.remove();
            queuedBytes -= bytes.length;
            counters.countOut(bytes.length + FrameHandler.PREFIX_BYTES);
            counters.countMessageOut();
            channel.write(Unpooled.wrappedBuffer(bytes));
            wrote = true;
        }
        if (wrote) {
            channel.flush();
        }
    }

    /** The connecting side: proves itself, then only sends; the peer must not send messages. */
    private final class OutboundHandler extends FrameHandler {
        private final Handshake handshake;

        OutboundHandler(Handshake handshake) {
            super(PeerConnection.this.counters);
            this.handshake = handshake;
        }

        @Override
        boolean isAuthenticated() {
            return ready;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            super.channelActive(context);
            write(context, handshake.hello());
        }

        @Override
        void frame(ChannelHandlerContext context, byte[] bytes) throws MalformedFrameException {
            if (ready) {
                throw new MalformedFrameException(MalformedFrameException.Fault.UNEXPECTED_BODY);
            }
            write(context, handshake.prove(PeerCodec.parse(bytes)));
            ready = true;
            failures = 0;
            flush();
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            flush();
        }
    }
}
