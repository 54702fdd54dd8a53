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
 * Object API stand-in: versions, conditional writes and long-poll watches over HTTP; on request it
 * is down or slow, or drops the responses of writes that took effect.
 */
public final class ObjectApiStandIn implements AutoCloseable, HttpHandler {
    private static final String OBJECT_PATH_PREFIX = "/objects/";
    private static final int MAX_VALUE_BYTES = 1 << 20;

    private final ObjectMapper mapper = new ObjectMapper();
    private final TreeMap<String, StoredObject> storedObjects = new TreeMap<>();
    private final List<PendingWatch> pendingWatches = new ArrayList<>();
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
     * Replaces the injected faults; affects subsequent calls.
     *
     * @param next the new faults
     */
    public synchronized void setFaults(StoreFaults next) {
        faults = next;
    }

    /**
     * Sets the list of instances.
     *
     * @param json JSON array, returned to callers unchanged
     */
    public synchronized void setInstances(String json) {
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
     * @param watches reads that waited for a change
     */
    public record CallCounts(long reads, long writes, long watches) {}

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        StoreFaults current = currentFaults();
        String path = exchange.getRequestPath();
        if (path.startsWith("/control/")) {
            exchange.getRequestReceiver()
                    .receiveFullString((e, text) -> handleControl(e, text), StandardCharsets.UTF_8);
        } else if (current.down()) {
            IoUtils.safeClose(exchange.getConnection());
        } else if (current.delayMillis() > 0) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
            exchange.getIoThread()
                    .executeAfter(
                            () -> handleCall(exchange),
                            current.delayMillis(),
                            TimeUnit.MILLISECONDS);
        } else {
            handleCall(exchange);
        }
    }

    private synchronized StoreFaults currentFaults() {
        return faults;
    }

    private void handleControl(HttpServerExchange exchange, String text) {
        try {
            switch (exchange.getRequestPath()) {
                case "/control/faults" -> setFaults(mapper.readValue(text, StoreFaults.class));
                case "/control/instances" -> setInstances(text);
                case "/control/counts" ->
                        exchange.getResponseSender().send(mapper.writeValueAsString(counts()));
                default -> exchange.setStatusCode(404);
            }
        } catch (JsonProcessingException e) {
            exchange.setStatusCode(400);
        }
        exchange.endExchange();
    }

    private void handleCall(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        String method = exchange.getRequestMethod().toString();
        if (path.equals("/instances")) {
            sendInstances(exchange);
        } else if (path.equals("/objects")) {
            list(exchange);
        } else if (!path.startsWith(OBJECT_PATH_PREFIX)) {
            exchange.setStatusCode(404).endExchange();
        } else if (method.equals("GET")) {
            read(exchange, path.substring(OBJECT_PATH_PREFIX.length()));
        } else if (method.equals("PUT")) {
            String key = path.substring(OBJECT_PATH_PREFIX.length());
            exchange.getRequestReceiver()
                    .receiveFullString((e, value) -> write(e, key, value), StandardCharsets.UTF_8);
        } else if (method.equals("DELETE")) {
            delete(exchange, path.substring(OBJECT_PATH_PREFIX.length()));
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
        for (Map.Entry<String, StoredObject> entry :
                storedObjects.tailMap(prefix, true).entrySet()) {
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
        StoredObject object = storedObjects.get(key);
        long version = object == null ? 0 : object.version;
        if (after != null && Long.parseLong(after) == version && waitMillis > 0) {
            watches++;
            PendingWatch watch = new PendingWatch(key, exchange);
            pendingWatches.add(watch);
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
            exchange.getIoThread()
                    .executeAfter(() -> expireWatch(watch), waitMillis, TimeUnit.MILLISECONDS);
        } else {
            reads++;
            sendObject(exchange, object);
        }
    }

    private synchronized void write(HttpServerExchange exchange, String key, String value) {
        writes++;
        if (value.length() > MAX_VALUE_BYTES) {
            exchange.setStatusCode(413).endExchange();
            return;
        }
        if (!preconditionHolds(exchange, storedObjects.get(key))) {
            exchange.setStatusCode(412).endExchange();
            return;
        }
        StoredObject object = new StoredObject(value, ++lastVersion);
        storedObjects.put(key, object);
        if (random.nextDouble() < faults.lostAnswers()) {
            IoUtils.safeClose(exchange.getConnection());
        } else {
            exchange.getResponseHeaders().put(Headers.ETAG, object.tag());
            exchange.setStatusCode(200).endExchange();
        }
        completeWatches(key, object);
    }

    private synchronized void delete(HttpServerExchange exchange, String key) {
        writes++;
        if (!storedObjects.containsKey(key)) {
            exchange.setStatusCode(404).endExchange();
        } else if (!preconditionHolds(exchange, storedObjects.get(key))) {
            exchange.setStatusCode(412).endExchange();
        } else {
            storedObjects.remove(key);
            exchange.setStatusCode(204).endExchange();
            completeWatches(key, null);
        }
    }

    private static boolean preconditionHolds(HttpServerExchange exchange, StoredObject object) {
        String ifNoneMatch = exchange.getRequestHeaders().getFirst(Headers.IF_NONE_MATCH);
        if (ifNoneMatch != null && object != null) {
            return false;
        }
        String ifMatch = exchange.getRequestHeaders().getFirst(Headers.IF_MATCH);
        return ifMatch == null || object != null && object.tag().equals(ifMatch);
    }

    private void completeWatches(String key, StoredObject object) {
        List<PendingWatch> due = pendingWatches.stream().filter(w -> w.key.equals(key)).toList();
        pendingWatches.removeAll(due);
        due.forEach(
                watch ->
                        watch.exchange
                                .getIoThread()
                                .execute(() -> sendObject(watch.exchange, object)));
    }

    private synchronized void expireWatch(PendingWatch watch) {
        if (pendingWatches.remove(watch)) {
            watch.exchange.setStatusCode(304).endExchange();
        }
    }

    private static void sendObject(HttpServerExchange exchange, StoredObject object) {
        if (object == null) {
            exchange.setStatusCode(404).endExchange();
        } else {
            exchange.getResponseHeaders().put(Headers.ETAG, object.tag());
            exchange.getResponseSender().send(object.value);
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
    private record StoredObject(String value, long version) {
        String tag() {
            return "\"" + version + "\"";
        }
    }

    /** A long-poll read that waits for a change of its key. */
    private record PendingWatch(String key, HttpServerExchange exchange) {}
}
