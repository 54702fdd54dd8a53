package org.snipeslip.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.peer.PeerAddress;
import org.snipeslip.core.peer.PeerMessage;

/**
 * Transports messages between instances over TCP. Each instance sends on the connections that it
 * opened and receives on those that it accepted. Delivery is not guaranteed. A single event loop
 * thread serves all connections and calls the receiver, which must not block.
 */
public final class PeerTransport implements AutoCloseable {
    /** Maximum number of connections in each direction: the default limit on members. */
    private static final int MAX_CONNECTIONS = 4_096;

    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 5;

    private final PeerCounters counters = new PeerCounters();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ChannelGroup acceptedChannels = new DefaultChannelGroup(loop);
    private final Map<PeerAddress, PeerConnection> connections = new ConcurrentHashMap<>();
    private final Bootstrap connector =
            new Bootstrap()
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    private volatile InstanceId ownId;
    private volatile PeerKey key;
    private volatile Channel server;

    /** Creates a transport that does not listen yet. */
    public PeerTransport() {}

    /**
     * Starts to listen for peers. Messages can be sent from now on.
     *
     * @param listen address to listen on; port 0 chooses a free port
     * @param instanceId id of this instance
     * @param sharedKey key shared by all instances
     * @param receiver called on the event loop with each message and its authenticated sender
     * @return the address with the actual port
     * @throws io.netty.channel.ChannelException if the address cannot be bound
     */
    public PeerAddress start(
            PeerAddress listen,
            InstanceId instanceId,
            PeerKey sharedKey,
            BiConsumer<InstanceId, PeerMessage> receiver) {
        ownId = instanceId;
        key = sharedKey;
        server =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        // A restarted instance must be able to bind its port while connections of
                        // its earlier process are still closing.
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        accept(channel, receiver);
                                    }
                                })
                        .bind(listen.host(), listen.port())
                        .syncUninterruptibly()
                        .channel();
        InetSocketAddress bound = (InetSocketAddress) server.localAddress();
        return new PeerAddress(listen.host(), bound.getPort());
    }

    /**
     * Queues a message for a peer. It is dropped and counted if the transport was not started, a
     * limit on connections or queued messages is reached, or the message cannot be encoded.
     *
     * @param to address at which the peer listens
     * @param message the message to send
     */
    public void send(PeerAddress to, PeerMessage message) {
        PeerConnection connection = connections.get(to);
        if (connection == null && connections.size() < MAX_CONNECTIONS) {
            connection =
                    connections.computeIfAbsent(
                            to,
                            address ->
                                    new PeerConnection(
                                            address, connector, loop, counters, this::handshake));
        }
        byte[] bytes = encodeOrEmpty(message);
        if (connection == null || bytes.length == 0 || key == null) {
            counters.countDropped(1);
        } else {
            connection.send(bytes);
        }
    }

    /** Returns the frame, or an empty array if the message is invalid or too large for a frame. */
    private static byte[] encodeOrEmpty(PeerMessage message) {
        try {
            byte[] bytes = PeerCodec.encode(message);
            return bytes.length > PeerCodec.MAX_FRAME_BYTES ? new byte[0] : bytes;
        } catch (IllegalArgumentException e) {
            return new byte[0];
        }
    }

    /**
     * Returns the counters since the creation of the transport.
     *
     * @return the counters, which continue to count
     */
    public PeerCounters counters() {
        return counters;
    }

    private void accept(Channel channel, BiConsumer<InstanceId, PeerMessage> receiver) {
        if (acceptedChannels.size() >= MAX_CONNECTIONS) {
            channel.close();
            return;
        }
        acceptedChannels.add(channel);
        new InboundHandler(handshake(), counters, receiver).install(channel.pipeline());
    }

    private Handshake handshake() {
        return new Handshake(key, ownId);
    }

    @Override
    public void close() {
        if (server != null) {
            // The port is released only by the selector of the event loop, so the channel must be
            // closed while the event loop still runs.
            server.close().syncUninterruptibly();
        }
        group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .syncUninterruptibly();
    }
}
