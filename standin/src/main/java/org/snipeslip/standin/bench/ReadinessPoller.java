package org.snipeslip.standin.bench;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.snipeslip.server.http.SimpleHttpClient;
import org.snipeslip.server.http.SimpleHttpListener;
import org.snipeslip.server.http.SimpleHttpRequest;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Reads readiness and the generation in force from operator ports. */
final class ReadinessPoller implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final Pattern GENERATION = Pattern.compile("generation\\D*(\\d+)");

    private final XnioWorker worker;
    private final DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final SimpleHttpClient client;

    ReadinessPoller() throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        client = new SimpleHttpClient(worker.getIoThread(), buffers);
    }

    /** Returns the generation in force, or empty if the instance is not ready. */
    CompletableFuture<OptionalLong> generation(URI operatorOrigin) {
        CompletableFuture<OptionalLong> result = new CompletableFuture<>();
        client.send(
                new SimpleHttpRequest(operatorOrigin, "GET", "/ready", Map.of(), ""),
                TIMEOUT_MILLIS,
                new SimpleHttpListener() {
                    @Override
                    public void responseReceived(
                            int status, UnaryOperator<String> header, String body) {
                        Matcher matcher = GENERATION.matcher(body);
                        boolean ready = status == 200 && matcher.find();
                        result.complete(
                                ready
                                        ? OptionalLong.of(Long.parseLong(matcher.group(1)))
                                        : OptionalLong.empty());
                    }

                    @Override
                    public void failed(boolean sent, IOException cause) {
                        result.complete(OptionalLong.empty());
                    }
                });
        return result;
    }

    /** Returns whether every instance is ready with the given or a later generation. */
    boolean allHaveGeneration(List<URI> operatorOrigins, long generation) {
        List<CompletableFuture<OptionalLong>> generations =
                operatorOrigins.stream().map(this::generation).toList();
        return generations.stream().allMatch(future -> future.join().orElse(0) >= generation);
    }

    @Override
    public void close() {
        worker.shutdown();
        buffers.close();
    }
}
