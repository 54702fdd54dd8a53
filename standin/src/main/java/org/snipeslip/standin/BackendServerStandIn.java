package org.snipeslip.standin;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.xnio.Options;

/**
 * Backend server stand-in: works on as many calls at once as it has slots, holds the others in a
 * queue, and reports its load with each answer.
 */
public final class BackendServerStandIn implements AutoCloseable, HttpHandler {
    private static final HttpString LOAD = new HttpString("Snipeslip-Load");
    private static final HttpString NOT_RUN = new HttpString("Snipeslip-Not-Run");

    private final int slots;
    private final long meanServiceMicros;
    private final int queueLimit;
    private final SplittableRandom random;
    private final Deque<HttpServerExchange> queue = new ArrayDeque<>();
    private final Undertow server;
    private int running;

    /**
     * Starts the stand-in.
     *
     * @param host IP address to listen on
     * @param port TCP port
     * @param slots calls it works on at once
     * @param meanServiceMicros mean service time in microseconds, exponentially distributed; 0 for
     *     none
     * @param queueLimit calls it holds before it refuses
     * @param seed seed of service times
     */
    public BackendServerStandIn(
            String host, int port, int slots, long meanServiceMicros, int queueLimit, long seed) {
        this.slots = slots;
        this.meanServiceMicros = meanServiceMicros;
        this.queueLimit = queueLimit;
        this.random = new SplittableRandom(seed);
        server =
                Undertow.builder()
                        .addHttpListener(port, host)
                        .setIoThreads(1)
                        .setWorkerThreads(1)
                        .setSocketOption(Options.TCP_NODELAY, true)
                        .setHandler(this)
                        .build();
        server.start();
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if (exchange.getRequestPath().equals("/load")) {
            reportLoad(exchange);
            exchange.endExchange();
        } else if (running < slots) {
            serve(exchange);
        } else if (queue.size() < queueLimit) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
            queue.add(exchange);
        } else {
            reportLoad(exchange);
            exchange.getResponseHeaders().put(NOT_RUN, "1");
            exchange.setStatusCode(503).endExchange();
        }
    }

    private void serve(HttpServerExchange exchange) {
        running++;
        if (meanServiceMicros == 0) {
            finish(exchange);
            return;
        }
        long micros = (long) (-meanServiceMicros * Math.log(1 - random.nextDouble()));
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
        exchange.getIoThread()
                .executeAfter(() -> finish(exchange), Math.max(1, micros), TimeUnit.MICROSECONDS);
    }

    private void finish(HttpServerExchange exchange) {
        running--;
        reportLoad(exchange);
        exchange.getResponseSender().send("served " + exchange.getRequestURI() + "\n");
        if (!queue.isEmpty() && running < slots) {
            serve(queue.remove());
        }
    }

    private void reportLoad(HttpServerExchange exchange) {
        exchange.getResponseHeaders().put(LOAD, (running + queue.size()) + "/" + slots);
    }

    @Override
    public void close() {
        server.stop();
    }
}
