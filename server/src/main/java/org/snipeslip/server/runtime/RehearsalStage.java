package org.snipeslip.server.runtime;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.DiscoveryInstance;
import org.snipeslip.core.instance.Event;
import org.snipeslip.server.http.CallerListener;
import org.snipeslip.server.http.HttpDialect;
import org.snipeslip.server.http.HttpMessage;
import org.snipeslip.server.http.HttpMessageClient;
import org.snipeslip.server.http.HttpMessageListener;
import org.xnio.XnioWorker;

/**
 * A caller port, a state machine and a backend server on the loopback interface, through which the
 * calls of a {@link Rehearsal} go. It shares the I/O thread of the process and nothing else.
 */
final class RehearsalStage implements AutoCloseable {
    private static final String BODY = "x".repeat(1_000);

    private final HttpDialect dialect;
    private final CallPath path;
    private final HttpMessageClient client;
    private final InstanceRuntime runtime;
    private final CallerListener backend;
    private final CallerListener front;
    private final URI origin;

    RehearsalStage(DiscoverySettings settings, XnioWorker worker, ByteBufferPool buffers)
            throws IOException {
        dialect = settings.dialect().withoutEnds();
        path = new CallPath(worker, buffers, dialect, 1);
        client = new HttpMessageClient(worker.getIoThread(), buffers);
        InetSocketAddress loopback =
                new InetSocketAddress(InetAddress.getLoopbackAddress().getHostAddress(), 0);
        backend = path.listen(loopback, settings.limits(), this::serve);
        runtime = runtime(settings);
        front =
                path.listen(
                        loopback,
                        settings.limits(),
                        path.handler(runtime, settings::limits, "rehearsal"));
        origin = URI.create("http://" + loopback.getHostString() + ":" + front.address().getPort());
        runtime.handle(new Event.Started());
    }

    private InstanceRuntime runtime(DiscoverySettings settings) {
        DiscoveryInstance instance =
                new DiscoveryInstance(
                        settings.fleet(),
                        settings.call(),
                        settings.region(),
                        settings.failureDomain(),
                        settings.stop(),
                        0);
        RehearsalStore store =
                new RehearsalStore(settings.failureDomain(), backend.address().getPort());
        return path.runtime(
                (event, nowNanos) -> unlogged(instance.handle(event, nowNanos)),
                StoreCalls.of(store),
                decision -> {},
                (address, message) -> {},
                () -> {},
                stopped -> {});
    }

    /** Leaves out the log lines about the configuration, which is not that of the process. */
    private static List<Action> unlogged(List<Action> actions) {
        return actions.stream().filter(each -> !(each instanceof Action.ConfigAdopted)).toList();
    }

    /** Sends a call to the caller port; the listener is called on the I/O thread. */
    void call(int number, boolean body, long timeLimitMillis, HttpMessageListener listener) {
        Map<String, String> headers = new HashMap<>();
        headers.put(dialect.deadlineMillis().toString(), Long.toString(timeLimitMillis));
        headers.put(dialect.requestId().toString(), Integer.toHexString(number));
        HttpMessage message =
                new HttpMessage(
                        origin,
                        body ? "POST" : "GET",
                        RehearsalStore.PATH,
                        headers,
                        body ? BODY : "");
        client.send(message, timeLimitMillis, listener);
    }

    @Override
    public void close() {
        runtime.close();
        front.close();
        path.callers().closeAll();
        backend.close();
        path.close();
    }

    /** Answers as a backend server without load. */
    private void serve(HttpServerExchange exchange) {
        HttpString requestId = dialect.requestId();
        put(exchange, requestId, exchange.getRequestHeaders().getFirst(requestId));
        put(exchange, dialect.load(), "0,0,1");
        put(exchange, dialect.serverName(), RehearsalStore.SERVER.value());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
        exchange.getResponseSender().send(BODY);
    }

    private static void put(HttpServerExchange exchange, HttpString name, String value) {
        if (name != null && value != null) {
            exchange.getResponseHeaders().put(name, value);
        }
    }
}
