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
import org.snipeslip.server.http.SimpleHttpClient;
import org.snipeslip.server.http.SimpleHttpListener;
import org.snipeslip.server.http.SimpleHttpRequest;
import org.xnio.XnioWorker;

/**
 * A caller port, a state machine and a backend server on the loopback interface, which serve the
 * calls of a {@link JvmWarmup}. It shares only the I/O worker and the buffer pool with the process.
 */
final class JvmWarmupEnvironment implements AutoCloseable {
    private static final String BODY = "x".repeat(1_000);

    private final HttpDialect dialect;
    private final CallProxy proxy;
    private final SimpleHttpClient client;
    private final StateMachineDriver driver;
    private final CallerListener backendListener;
    private final CallerListener callerListener;
    private final URI origin;

    JvmWarmupEnvironment(DiscoverySettings settings, XnioWorker worker, ByteBufferPool buffers)
            throws IOException {
        dialect = settings.dialect().withoutCallEndLogging();
        proxy = new CallProxy(worker, buffers, dialect, 1);
        client = new SimpleHttpClient(worker.getIoThread(), buffers);
        InetSocketAddress loopback =
                new InetSocketAddress(InetAddress.getLoopbackAddress().getHostAddress(), 0);
        backendListener = proxy.listen(loopback, settings.limits(), this::answerAsBackendServer);
        driver = createDriver(settings);
        callerListener =
                proxy.listen(
                        loopback,
                        settings.limits(),
                        proxy.createHandler(driver, settings::limits, "rehearsal"));
        origin =
                URI.create(
                        "http://"
                                + loopback.getHostString()
                                + ":"
                                + callerListener.address().getPort());
        driver.handle(new Event.Started());
    }

    private StateMachineDriver createDriver(DiscoverySettings settings) {
        DiscoveryInstance instance =
                new DiscoveryInstance(
                        settings.discovery().withoutPeers(),
                        settings.call(),
                        settings.region(),
                        settings.failureDomain(),
                        settings.stop(),
                        settings.access(),
                        null,
                        0);
        JvmWarmupStore store =
                new JvmWarmupStore(settings.failureDomain(), backendListener.address().getPort());
        return proxy.createDriver(
                new ObservedStateMachine(
                        instance, (event, actions) -> withoutConfigAdopted(actions)),
                StoreClient.of(store),
                decision -> {},
                (address, request) -> {},
                () -> {},
                stopped -> {});
    }

    /**
     * Removes the actions that log the configuration in force, since that of the warm-up is not the
     * configuration of the process.
     */
    private static List<Action> withoutConfigAdopted(List<Action> actions) {
        return actions.stream()
                .filter(action -> !(action instanceof Action.ConfigAdopted))
                .toList();
    }

    /** Sends a call to the caller port; the listener runs on the I/O thread. */
    void sendCall(int number, boolean hasBody, long timeLimitMillis, SimpleHttpListener listener) {
        Map<String, String> headers = new HashMap<>();
        headers.put(dialect.deadlineMillis().toString(), Long.toString(timeLimitMillis));
        headers.put(dialect.requestId().toString(), Integer.toHexString(number));
        SimpleHttpRequest request =
                new SimpleHttpRequest(
                        origin,
                        hasBody ? "POST" : "GET",
                        JvmWarmupStore.PATH,
                        headers,
                        hasBody ? BODY : "");
        client.send(request, timeLimitMillis, listener);
    }

    @Override
    public void close() {
        driver.close();
        callerListener.close();
        proxy.callerConnections().closeAll();
        backendListener.close();
        proxy.close();
    }

    /** Responds like a backend server without load. */
    private void answerAsBackendServer(HttpServerExchange exchange) {
        HttpString requestId = dialect.requestId();
        putIfPresent(exchange, requestId, exchange.getRequestHeaders().getFirst(requestId));
        putIfPresent(exchange, dialect.load(), "0,0,1");
        putIfPresent(exchange, dialect.serverName(), JvmWarmupStore.SERVER.value());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
        exchange.getResponseSender().send(BODY);
    }

    private static void putIfPresent(HttpServerExchange exchange, HttpString name, String value) {
        if (name != null && value != null) {
            exchange.getResponseHeaders().put(name, value);
        }
    }
}
