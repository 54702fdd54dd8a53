package org.snipeslip.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.Options;

/**
 * Object API stand-in: versions, conditional writes and long-poll watches over HTTP; on command it
 * is down, slow, or loses the answers of writes that took effect.
 */
public final class ObjectApiStandIn implements AutoCloseable, HttpHandler {
    private static final String OBJECTS = "/objects/";
    private static final int MAX_VALUE_BYTES = 1 << 20;

    private final ObjectMapper mapper = new ObjectMapper();
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private final SplittableRandom random = new SplittableRandom(1);
    private final Undertow server;
    private StoreFaults faults = StoreFaults.NONE;
    private String instances = "[]";
    private long lastVersion;
    private long reads;
    private long writes;
    private long watches;

    /**
     * Starts the stand-in.
     *
     * @param host IP address to listen on
     * @param port TCP port
     */
    public ObjectApiStandIn(String host, int port) {
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

    /**
     * Changes the faults.
     *
     * @param next the new faults
     */
    public synchronized void fail(StoreFaults next) {
        faults = next;
    }

    /**
     * Sets the list of instances.
     *
     * @param json the list as callers get it
     */
    public synchronized void listInstances(String json) {
        instances = json;
    }

    /**
     * Counts the calls so far.
     *
     * @return reads, writes and watches
     */
    public synchronized CallCounts counts() {
        return new CallCounts(reads, writes, watches);
    }

    /**
     * Number of calls by kind.
     *
     * @param reads reads and lists
     * @param writes conditional writes and deletions
     * @param watches watches that had to wait
     */
    public record CallCounts(long reads, long writes, long watches) {}

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        StoreFaults current = currentFaults();
        String path = exchange.getRequestPath();
        if (path.startsWith("/control/")) {
            exchange.getRequestReceiver()
                    .receiveFullString((e, text) -> control(e, text), StandardCharsets.UTF_8);
        } else if (current.down()) {
            IoUtils.safeClose(exchange.getConnection());
        } else if (current.delayMillis() > 0) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
            exchange.getIoThread()
                    .executeAfter(
                            () -> carryOut(exchange), current.delayMillis(), TimeUnit.MILLISECONDS);
        } else {
            carryOut(exchange);
        }
    }

    private synchronized StoreFaults currentFaults() {
        return faults;
    }

    private void control(HttpServerExchange exchange, String text) {
        try {
            switch (exchange.getRequestPath()) {
                case "/control/faults" -> fail(mapper.readValue(text, StoreFaults.class));
                case "/control/instances" -> listInstances(text);
                case "/control/counts" ->
                        exchange.getResponseSender().send(mapper.writeValueAsString(counts()));
                default -> exchange.setStatusCode(404);
            }
        } catch (JsonProcessingException e) {
            exchange.setStatusCode(400);
        }
        exchange.endExchange();
    }

    private void carryOut(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        String method = exchange.getRequestMethod().toString();
        if (path.equals("/instances")) {
            sendInstances(exchange);
        } else if (path.equals("/objects")) {
            list(exchange);
        } else if (!path.startsWith(OBJECTS)) {
            exchange.setStatusCode(404).endExchange();
        } else if (method.equals("GET")) {
            read(exchange, path.substring(OBJECTS.length()));
        } else if (method.equals("PUT")) {
            String key = path.substring(OBJECTS.length());
            exchange.getRequestReceiver()
                    .receiveFullString((e, value) -> write(e, key, value), StandardCharsets.UTF_8);
        } else if (method.equals("DELETE")) {
            delete(exchange, path.substring(OBJECTS.length()));
        } else {
            exchange.setStatusCode(405).endExchange();
        }
    }

    private synchronized void sendInstances(HttpServerExchange exchange) {
        reads++;
        exchange.getResponseSender().send(instances);
    }

    private synchronized void list(HttpServerExchange exchange) {
        reads++;
        String prefix = parameter(exchange, "prefix", "");
        ArrayNode array = mapper.createArrayNode();
        for (Map.Entry<String, Entry> entry : entries.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            byte[] value = entry.getValue().value.getBytes(StandardCharsets.UTF_8);
            array.addObject()
                    .put("key", entry.getKey())
                    .put("version", entry.getValue().version)
                    .put("value", Base64.getEncoder().encodeToString(value));
        }
        exchange.getResponseSender().send(array.toString());
    }

    private synchronized void read(HttpServerExchange exchange, String key) {
        String after = parameter(exchange, "after", null);
        long waitMillis = Long.parseLong(parameter(exchange, "waitMillis", "0"));
        Entry entry = entries.get(key);
        long version = entry == null ? 0 : entry.version;
        if (after != null && Long.parseLong(after) == version && waitMillis > 0) {
            watches++;
            Waiter waiter = new Waiter(key, exchange);
            waiters.add(waiter);
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
            exchange.getIoThread()
                    .executeAfter(() -> expire(waiter), waitMillis, TimeUnit.MILLISECONDS);
        } else {
            reads++;
            sendEntry(exchange, entry);
        }
    }

    private synchronized void write(HttpServerExchange exchange, String key, String value) {
        writes++;
        if (value.length() > MAX_VALUE_BYTES) {
            exchange.setStatusCode(413).endExchange();
            return;
        }
        if (!conditionHolds(exchange, entries.get(key))) {
            exchange.setStatusCode(412).endExchange();
            return;
        }
        Entry entry = new Entry(value, ++lastVersion);
        entries.put(key, entry);
        if (random.nextDouble() < faults.lostAnswers()) {
            IoUtils.safeClose(exchange.getConnection());
        } else {
            exchange.getResponseHeaders().put(Headers.ETAG, entry.tag());
            exchange.setStatusCode(200).endExchange();
        }
        wake(key, entry);
    }

    private synchronized void delete(HttpServerExchange exchange, String key) {
        writes++;
        if (!entries.containsKey(key)) {
            exchange.setStatusCode(404).endExchange();
        } else if (!conditionHolds(exchange, entries.get(key))) {
            exchange.setStatusCode(412).endExchange();
        } else {
            entries.remove(key);
            exchange.setStatusCode(204).endExchange();
            wake(key, null);
        }
    }

    private static boolean conditionHolds(HttpServerExchange exchange, Entry entry) {
        String ifNoneMatch = exchange.getRequestHeaders().getFirst(Headers.IF_NONE_MATCH);
        if (ifNoneMatch != null && entry != null) {
            return false;
        }
        String ifMatch = exchange.getRequestHeaders().getFirst(Headers.IF_MATCH);
        return ifMatch == null || entry != null && entry.tag().equals(ifMatch);
    }

    private void wake(String key, Entry entry) {
        List<Waiter> due = waiters.stream().filter(w -> w.key.equals(key)).toList();
        waiters.removeAll(due);
        due.forEach(
                waiter ->
                        waiter.exchange
                                .getIoThread()
                                .execute(() -> sendEntry(waiter.exchange, entry)));
    }

    private synchronized void expire(Waiter waiter) {
        if (waiters.remove(waiter)) {
            waiter.exchange.setStatusCode(304).endExchange();
        }
    }

    private static void sendEntry(HttpServerExchange exchange, Entry entry) {
        if (entry == null) {
            exchange.setStatusCode(404).endExchange();
        } else {
            exchange.getResponseHeaders().put(Headers.ETAG, entry.tag());
            exchange.getResponseSender().send(entry.value);
        }
    }

    private static String parameter(HttpServerExchange exchange, String name, String absent) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? absent : values.getFirst();
    }

    @Override
    public void close() {
        server.stop();
    }

    /** A stored value with its version. */
    private record Entry(String value, long version) {
        String tag() {
            return "\"" + version + "\"";
        }
    }

    /** A waiting watch. */
    private record Waiter(String key, HttpServerExchange exchange) {}
}
