package org.snipeslip.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.XnioWorker;

/**
 * Backend server stand-in: processes as many calls concurrently as it has slots, queues the others
 * up to a limit, and reports its load with each response. On request it slows down, fails fast,
 * drains or becomes cold. The service time of a cold server is multiplied by {@value #COLD_FACTOR}
 * for each call in progress, so it collapses under full load.
 */
public final class BackendServerStandIn implements AutoCloseable, HttpHandler {
    private static final HttpString LOAD_HEADER = new HttpString("Snipeslip-Load");
    private static final HttpString NOT_RUN_HEADER = new HttpString("Snipeslip-Not-Run");
    private static final HttpString IDEMPOTENCY_KEY_HEADER = new HttpString("Idempotency-Key");
    private static final int COLD_FACTOR = 4;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final BackendServerSpec spec;
    private final ScheduledExecutorService timers;
    private final ExecutionCounter executionCounter;
    private final SplittableRandom random;
    private final Deque<HttpServerExchange> queue = new ArrayDeque<>();
    private final ObjectMapper mapper = new ObjectMapper();
    private final Undertow server;
    private Behaviour behaviour = Behaviour.NORMAL;
    private int runningCalls;
    private int reportedLoad;
    private long reportedAtNanos;

    /**
     * Starts the stand-in.
     *
     * @param spec immutable properties
     * @param worker worker for the I/O of the server
     * @param timers executor that completes calls after their service time
     * @param executionCounter counts the executions of calls that have an idempotency key
     */
    public BackendServerStandIn(
            BackendServerSpec spec,
            XnioWorker worker,
            ScheduledExecutorService timers,
            ExecutionCounter executionCounter) {
        this.spec = spec;
        this.timers = timers;
        this.executionCounter = executionCounter;
        this.random = new SplittableRandom(spec.seed());
        server =
                Undertow.builder()
                        .setWorker(worker)
                        .addHttpListener(spec.port(), spec.host())
                        .setSocketOption(Options.TCP_NODELAY, true)
                        .setHandler(this)
                        .build();
        server.start();
    }

    /**
     * Changes the behaviour of calls that are accepted or finished from now on.
     *
     * @param next the new behaviour
     */
    public synchronized void setBehaviour(Behaviour next) {
        behaviour = next;
    }

    /**
     * Returns the current behaviour; the number of cold calls decreases as calls finish.
     *
     * @return the current behaviour
     */
    public synchronized Behaviour behaviour() {
        return behaviour;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws IOException {
        switch (exchange.getRequestPath()) {
            case "/load" -> {
                reportLoad(exchange);
                exchange.endExchange();
            }
            case "/behaviour" ->
                    exchange.getRequestReceiver()
                            .receiveFullString((e, text) -> changeBehaviour(e, text));
            case "/works" ->
                    exchange.getResponseSender()
                            .send(
                                    executionCounter.distinctKeys()
                                            + " "
                                            + executionCounter.repeatedKeys()
                                            + "\n");
            default ->
                    exchange.getRequestReceiver()
                            .receiveFullBytes(
                                    (e, body) -> accept(e), (e, cause) -> closeConnection(e));
        }
    }

    private void changeBehaviour(HttpServerExchange exchange, String text) {
        try {
            setBehaviour(mapper.readValue(text, Behaviour.class));
        } catch (IOException e) {
            exchange.setStatusCode(400);
        }
        exchange.endExchange();
    }

    private static void closeConnection(HttpServerExchange exchange) {
        IoUtils.safeClose(exchange.getConnection());
    }

    private synchronized void accept(HttpServerExchange exchange) {
        if (behaviour.connectionsRefused()) {
            closeConnection(exchange);
        } else if (behaviour.failFast()) {
            reportLoad(exchange);
            exchange.setStatusCode(500).endExchange();
        } else if (runningCalls < spec.slots()) {
            serve(exchange);
        } else if (queue.size() < spec.queueLimit()) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
            queue.add(exchange);
        } else {
            refuse(exchange);
        }
    }

    private void refuse(HttpServerExchange exchange) {
        reportLoad(exchange);
        exchange.getResponseHeaders().put(NOT_RUN_HEADER, "1");
        exchange.setStatusCode(503).endExchange();
    }

    private void serve(HttpServerExchange exchange) {
        runningCalls++;
        String key = exchange.getRequestHeaders().getFirst(IDEMPOTENCY_KEY_HEADER);
        if (key != null) {
            executionCounter.countStart(key);
        }
        if (spec.meanServiceMicros() == 0) {
            finish(exchange);
            return;
        }
        double factor = behaviour.slowFactor();
        if (behaviour.coldCalls() > 0) {
            factor *= COLD_FACTOR * runningCalls;
        }
        double micros = -spec.meanServiceMicros() * Math.log(1 - random.nextDouble()) * factor;
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
        timers.schedule(
                () -> exchange.getIoThread().execute(() -> finish(exchange)),
                (long) micros,
                TimeUnit.MICROSECONDS);
    }

    private synchronized void finish(HttpServerExchange exchange) {
        runningCalls--;
        if (behaviour.coldCalls() > 0) {
            behaviour = behaviour.withColdCalls(behaviour.coldCalls() - 1);
        }
        reportLoad(exchange);
        exchange.getResponseSender().send("served " + exchange.getRequestURI() + "\n");
        while (!queue.isEmpty() && runningCalls < spec.slots()) {
            HttpServerExchange next = queue.remove();
            if (next.getConnection().isOpen()) {
                serve(next);
            }
        }
    }

    private synchronized void reportLoad(HttpServerExchange exchange) {
        long nowNanos = System.nanoTime();
        if (nowNanos - reportedAtNanos >= behaviour.loadLagMillis() * NANOS_PER_MILLI) {
            reportedLoad = runningCalls + queue.size();
            reportedAtNanos = nowNanos;
        }
        String flags = behaviour.draining() ? ";d" : "";
        exchange.getResponseHeaders().put(LOAD_HEADER, reportedLoad + "/" + spec.slots() + flags);
    }

    @Override
    public void close() {
        server.stop();
    }
}
