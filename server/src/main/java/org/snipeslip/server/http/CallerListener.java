package org.snipeslip.server.http;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * The caller port: Undertow's HTTP/1.1 listener with a {@link LineFoldingDetector} on each
 * connection.
 */
public final class CallerListener implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(CallerListener.class);
    private static final long OVERDUE_PERIOD_MILLIS = 1_000;
    private static final int BACKLOG = 1_000;

    /** Connections that are accepted while others are being closed to make room. */
    private static final int MAX_CLOSING = 64;

    /** A field, such as "a:", and its line end. */
    private static final int MIN_FIELD_BYTES = 4;

    private final AcceptingChannel<? extends StreamConnection> acceptor;

    /**
     * Binds the address and starts to accept connections.
     *
     * @param address address to bind; port 0 selects a free port
     * @param worker its I/O threads run the connections
     * @param buffers buffer pool of the connections
     * @param limits limits on requests
     * @param budget bounds what the connections occupy together
     * @param handler handles the requests
     * @throws IOException if the address cannot be bound
     */
    public CallerListener(
            InetSocketAddress address,
            XnioWorker worker,
            ByteBufferPool buffers,
            CallLimits limits,
            ConnectionBudget budget,
            HttpHandler handler)
            throws IOException {
        HttpOpenListener http = new HttpOpenListener(buffers, options(limits));
        http.setRootHandler(
                exchange -> {
                    exchange.addExchangeCompleteListener(
                            (done, next) -> {
                                prepareForNextHead(done);
                                next.proceed();
                            });
                    handler.handleRequest(exchange);
                });
        ChannelListener<StreamConnection> open =
                connection -> {
                    ConduitStreamSourceChannel source = connection.getSourceChannel();
                    source.setConduit(
                            new LineFoldingDetector(source.getConduit(), budget.open(connection)));
                    http.handleEvent(connection);
                };
        acceptor =
                worker.createStreamConnectionServer(
                        new InetSocketAddress(address.getHostString(), address.getPort()),
                        server -> acceptAll(server, open),
                        OptionMap.builder()
                                .set(Options.TCP_NODELAY, true)
                                .set(Options.REUSE_ADDRESSES, true)
                                .set(Options.BACKLOG, BACKLOG)
                                .set(
                                        Options.CONNECTION_HIGH_WATER,
                                        budget.maxConnections() + MAX_CLOSING)
                                .set(
                                        Options.CONNECTION_LOW_WATER,
                                        budget.maxConnections() + MAX_CLOSING)
                                .getMap());
        acceptor.resumeAccepts();
        worker.getIoThread()
                .executeAtInterval(
                        budget::closeOverdue, OVERDUE_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the bound address.
     *
     * @return address with the actual port, also if port 0 was requested
     */
    public InetSocketAddress address() {
        return acceptor.getLocalAddress(InetSocketAddress.class);
    }

    /** Stops accepting connections; open connections stay open. */
    @Override
    public void close() {
        acceptor.suspendAccepts();
        IoUtils.safeClose(acceptor);
    }

    /**
     * Opens all accepted connections. Those that were accepted just before {@link #close} are still
     * opened; XNIO reports the end of their queue by an exception if the listener is closed.
     */
    private static void acceptAll(
            AcceptingChannel<StreamConnection> server, ChannelListener<StreamConnection> open) {
        try {
            StreamConnection connection;
            while ((connection = server.accept()) != null) {
                open.handleEvent(connection);
            }
        } catch (ClosedChannelException e) {
            LOG.debug("listener closed", e);
        } catch (IOException e) {
            LOG.atError().setCause(e).log("connection of a caller cannot be accepted");
        }
    }

    private static void prepareForNextHead(HttpServerExchange exchange) {
        if (exchange.getConnection() instanceof HttpServerConnection connection
                && connection.getOriginalSourceConduit() instanceof LineFoldingDetector detector) {
            PooledByteBuffer alreadyRead = connection.getExtraBytes();
            detector.startHead(alreadyRead == null ? null : alreadyRead.getBuffer());
        }
    }

    /** Undertow's own time limits would keep closed connections, with their heads, in memory. */
    private static OptionMap options(CallLimits limits) {
        return OptionMap.builder()
                .set(UndertowOptions.DECODE_URL, false)
                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .set(UndertowOptions.MAX_HEADER_SIZE, limits.parserMaxHeadBytes())
                .set(UndertowOptions.MAX_HEADERS, limits.parserMaxHeadBytes() / MIN_FIELD_BYTES)
                .set(UndertowOptions.MAX_PARAMETERS, limits.maxUriBytes())
                .getMap();
    }
}
