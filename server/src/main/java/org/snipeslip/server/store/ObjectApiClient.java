package org.snipeslip.server.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.store.ListedInstance;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreFailure;
import org.snipeslip.core.store.StoreRequest;
import org.snipeslip.core.store.StoredObject;
import org.snipeslip.server.http.SimpleHttpClient;
import org.snipeslip.server.http.SimpleHttpListener;
import org.snipeslip.server.http.SimpleHttpRequest;

/**
 * An HTTP client of the object API. The version of an object is its ETag; If-Match makes an update
 * or a deletion conditional on it, and If-None-Match a creation on the absence of the object.
 */
public final class ObjectApiClient {
    private static final long RESPONSE_TIMEOUT_MILLIS = 5_000;
    private static final String OBJECTS_PATH = "/objects/";

    private final SimpleHttpClient client;
    private final URI origin;
    private final ObjectMapper mapper = new ObjectMapper();

    /**
     * Creates a client.
     *
     * @param client HTTP client that sends the requests
     * @param origin scheme, host and port of the object API
     */
    public ObjectApiClient(SimpleHttpClient client, URI origin) {
        this.client = client;
        this.origin = origin;
    }

    /**
     * Sends a request without blocking. A watch may take its own wait time longer than other
     * requests.
     *
     * @param request the request
     * @param consumer receives exactly one response, which is a failure if none arrives in time
     */
    public void call(StoreRequest request, Consumer<StoreAnswer> consumer) {
        long waitMillis = request instanceof StoreRequest.Watch watch ? watch.waitMillis() : 0;
        client.send(
                toHttpRequest(request),
                RESPONSE_TIMEOUT_MILLIS + waitMillis,
                new ResponseListener(request, consumer));
    }

    private SimpleHttpRequest toHttpRequest(StoreRequest request) {
        return switch (request) {
            case StoreRequest.Read r -> toHttpRequest("GET", OBJECTS_PATH + r.key(), Map.of(), "");
            case StoreRequest.Create r ->
                    toHttpRequest(
                            "PUT", OBJECTS_PATH + r.key(), Map.of("If-None-Match", "*"), r.value());
            case StoreRequest.Update r ->
                    toHttpRequest(
                            "PUT", OBJECTS_PATH + r.key(), ifMatch(r.expectedVersion()), r.value());
            case StoreRequest.Delete r ->
                    toHttpRequest(
                            "DELETE", OBJECTS_PATH + r.key(), ifMatch(r.expectedVersion()), "");
            case StoreRequest.ListPrefix r ->
                    toHttpRequest("GET", "/objects?prefix=" + r.prefix(), Map.of(), "");
            case StoreRequest.Watch r ->
                    toHttpRequest(
                            "GET",
                            OBJECTS_PATH
                                    + r.key()
                                    + "?after="
                                    + r.knownVersion()
                                    + "&waitMillis="
                                    + r.waitMillis(),
                            Map.of(),
                            "");
            case StoreRequest.ReadInstances r -> toHttpRequest("GET", "/instances", Map.of(), "");
        };
    }

    private SimpleHttpRequest toHttpRequest(
            String method, String target, Map<String, String> headers, String body) {
        return new SimpleHttpRequest(origin, method, target, headers, body);
    }

    private static Map<String, String> ifMatch(long version) {
        return Map.of("If-Match", quoted(version));
    }

    private static String quoted(long version) {
        return "\"" + version + "\"";
    }

    /** Converts an HTTP response, or its absence, into a typed response to the request. */
    private final class ResponseListener implements SimpleHttpListener {
        private final StoreRequest request;
        private final Consumer<StoreAnswer> consumer;

        ResponseListener(StoreRequest request, Consumer<StoreAnswer> consumer) {
            this.request = request;
            this.consumer = consumer;
        }

        @Override
        public void responseReceived(int status, UnaryOperator<String> header, String body) {
            consumer.accept(answer(status, header, body));
        }

        @Override
        public void failed(boolean sent, IOException cause) {
            StoreFailure reason = sent ? StoreFailure.NO_ANSWER : StoreFailure.NOT_SENT;
            consumer.accept(new StoreAnswer.Failed(reason));
        }

        private StoreAnswer answer(int status, UnaryOperator<String> header, String body) {
            return switch (status) {
                case 200, 201 -> success(header, body);
                case 204 -> new StoreAnswer.Written(0);
                case 304 -> new StoreAnswer.Unchanged();
                case 404 -> new StoreAnswer.Absent();
                case 412 -> new StoreAnswer.Conflict();
                case 413 -> new StoreAnswer.Failed(StoreFailure.TOO_LARGE);
                case 429, 503 -> new StoreAnswer.Failed(StoreFailure.REFUSED);
                default -> new StoreAnswer.Failed(StoreFailure.NO_ANSWER);
            };
        }

        private StoreAnswer success(UnaryOperator<String> header, String body) {
            try {
                return switch (request) {
                    case StoreRequest.Read r ->
                            new StoreAnswer.Found(object(r.key(), body, header));
                    case StoreRequest.Watch r ->
                            new StoreAnswer.Found(object(r.key(), body, header));
                    case StoreRequest.ListPrefix r -> new StoreAnswer.Listed(objects(body));
                    case StoreRequest.ReadInstances r -> new StoreAnswer.Instances(instances(body));
                    default -> new StoreAnswer.Written(version(header));
                };
            } catch (JsonProcessingException | NumberFormatException e) {
                return new StoreAnswer.Failed(StoreFailure.NO_ANSWER);
            }
        }

        private List<StoredObject> objects(String body) throws JsonProcessingException {
            List<StoredObject> objects = new ArrayList<>();
            for (JsonNode node : mapper.readTree(body)) {
                byte[] value = Base64.getDecoder().decode(node.path("value").asText());
                objects.add(
                        new StoredObject(
                                node.path("key").asText(),
                                new String(value, StandardCharsets.UTF_8),
                                node.path("version").asLong()));
            }
            return objects;
        }

        private List<ListedInstance> instances(String body) throws JsonProcessingException {
            List<ListedInstance> instances = new ArrayList<>();
            for (JsonNode node : mapper.readTree(body)) {
                instances.add(
                        new ListedInstance(
                                new InstanceId(node.path("id").asText()),
                                node.path("host").asText(),
                                node.path("peerPort").asInt(),
                                new FailureDomainId(node.path("failureDomain").asText()),
                                node.path("leaving").asBoolean()));
            }
            return instances;
        }
    }

    private static StoredObject object(String key, String body, UnaryOperator<String> header) {
        return new StoredObject(key, body, version(header));
    }

    private static long version(UnaryOperator<String> header) {
        String etag = header.apply("ETag");
        if (etag == null) {
            throw new NumberFormatException("the response has no ETag");
        }
        return Long.parseLong(etag.replace("\"", ""));
    }
}
