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
 * Carries messages between instances over TCP. Each instance sends on connections that it opened
 * and receives on those that it accepted. Delivery is not guaranteed. One event loop thread serves
 * all connections and calls the receiver, which must not block.
 */
public final class PeerTransport implements AutoCloseable {
    /** Bound on connections in each direction: the bound on members. */
    private static final int MAX_CONNECTIONS = 4_096;

    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long SHUTDOWN_SECONDS = 5;

    private final PeerCounters counters = new PeerCounters();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ChannelGroup accepted = new DefaultChannelGroup(loop);
    private final Map<PeerAddress, PeerConnection> connections = new ConcurrentHashMap<>();
    private final Bootstrap connector =
            new Bootstrap()
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    private volatile InstanceId own;
    private volatile PeerKey key;
    private volatile Channel server;

    /** Creates a transport that does not listen yet. */
    public PeerTransport() {}

    /**
     * Listens for peers; messages can be sent from now on.
     *
     * @param listen where to listen; port 0 chooses a free one
     * @param ownId id of this instance
     * @param sharedKey key shared by all instances
     * @param receiver takes authenticated messages on the event loop
     * @return where it listens
     * @throws io.netty.channel.ChannelException if the address cannot be bound
     */
    public PeerAddress start(
            PeerAddress listen,
            InstanceId ownId,
            PeerKey sharedKey,
            BiConsumer<InstanceId, PeerMessage> receiver) {
        own = ownId;
        key = sharedKey;
        server =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        // A restarted instance must get its port back while old connections linger.
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
     * Sends a message; it is dropped and counted if it cannot be sent now.
     *
     * @param to where the receiver listens
     * @param message the message
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
        byte[] bytes = encoded(message);
        if (connection == null || bytes.length == 0 || key == null) {
            counters.countDropped(1);
        } else {
            connection.send(bytes);
        }
    }

    /** Returns the frame, or no bytes if the message does not fit the protocol. */
    private static byte[] encoded(PeerMessage message) {
        try {
            byte[] bytes = PeerCodec.encode(message);
            return bytes.length > PeerCodec.MAX_FRAME_BYTES ? new byte[0] : bytes;
        } catch (IllegalArgumentException e) {
            return new byte[0];
        }
    }

    /**
     * Returns the counts since the start.
     *
     * @return the counters
     */
    public PeerCounters counters() {
        return counters;
    }

    private void accept(Channel channel, BiConsumer<InstanceId, PeerMessage> receiver) {
        if (accepted.size() >= MAX_CONNECTIONS) {
            channel.close();
            return;
        }
        accepted.add(channel);
        new InboundHandler(handshake(), counters, receiver).install(channel.pipeline());
    }

    private Handshake handshake() {
        return new Handshake(key, own);
    }

    @Override
    public void close() {
        if (server != null) {
            // Closed while the event loop still runs: its selector then releases the port.
            server.close().syncUninterruptibly();
        }
        group.shutdownGracefully(0, SHUTDOWN_SECONDS, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
