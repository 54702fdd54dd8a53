package org.snipeslip.server.http;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Opens the connection of an Undertow client with a {@link ResponseConduit} below its HTTP parser
 * and a {@link RequestConduit} below its writer. Undertow creates its connection inside the connect
 * call, with no other place for a conduit. Everything else is delegated to the real I/O thread;
 * this one is never started.
 */
final class LimitingConnector extends XnioIoThread {
    private final XnioIoThread ioThread;
    private final long maxBytes;
    private ResponseConduit responses;

    /**
     * Creates a connector for one connection.
     *
     * @param ioThread runs the connection
     * @param maxBytes most bytes that may be read without progress
     */
    LimitingConnector(XnioIoThread ioThread, long maxBytes) {
        super(ioThread.getWorker(), ioThread.getNumber());
        this.ioThread = ioThread;
        this.maxBytes = maxBytes;
    }

    /** Returns the conduit that reads from the connection, once it is open. */
    ResponseConduit responses() {
        return responses;
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination,
            ChannelListener<? super StreamConnection> openListener,
            OptionMap options) {
        return ioThread.openStreamConnection(
                destination,
                connection -> {
                    ConduitStreamSourceChannel source = connection.getSourceChannel();
                    responses =
                            new ResponseConduit(new ProgressLimit(source.getConduit(), maxBytes));
                    source.setConduit(responses);
                    ConduitStreamSinkChannel sink = connection.getSinkChannel();
                    sink.setConduit(new RequestConduit(sink.getConduit(), responses));
                    openListener.handleEvent(connection);
                },
                options);
    }

    @Override
    public void execute(Runnable command) {
        ioThread.execute(command);
    }

    @Override
    public Key executeAfter(Runnable command, long time, TimeUnit unit) {
        return ioThread.executeAfter(command, time, unit);
    }

    @Override
    public XnioExecutor.Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
        return ioThread.executeAtInterval(command, time, unit);
    }
}
