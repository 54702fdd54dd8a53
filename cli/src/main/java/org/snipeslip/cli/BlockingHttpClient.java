package org.snipeslip.cli;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.server.config.ObjectStore;
import org.snipeslip.server.http.SimpleHttpClient;
import org.snipeslip.server.http.SimpleHttpListener;
import org.snipeslip.server.http.SimpleHttpRequest;
import org.snipeslip.server.store.ObjectApiClient;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** HTTP client of one command; each call blocks until it completes, fails or times out. */
final class BlockingHttpClient implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final long TIMEOUT_MILLIS = 5_000;

    private final XnioWorker worker;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final SimpleHttpClient client;

    BlockingHttpClient() throws IOException {
        worker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .getMap());
        client = new SimpleHttpClient(worker.getIoThread(), buffers);
    }

    /**
     * Returns a blocking client of the object API at an origin. No call blocks for ever, because
     * {@link ObjectApiClient} completes each one within its time limit.
     */
    ObjectStore objectStore(URI origin) {
        ObjectApiClient objectApi = new ObjectApiClient(client, origin);
        return request -> {
            CompletableFuture<StoreAnswer> answer = new CompletableFuture<>();
            objectApi.call(request, answer::complete);
            return answer.join();
        };
    }

    /** Sends a GET request to an operator port. */
    Either<IOException, Response> get(URI origin, String target) {
        CompletableFuture<Either<IOException, Response>> response = new CompletableFuture<>();
        client.send(
                new SimpleHttpRequest(origin, "GET", target, Map.of(), ""),
                TIMEOUT_MILLIS,
                new SimpleHttpListener() {
                    @Override
                    public void responseReceived(
                            int status, UnaryOperator<String> header, String body) {
                        response.complete(Either.right(new Response(status, body)));
                    }

                    @Override
                    public void failed(boolean sent, IOException cause) {
                        response.complete(Either.left(cause));
                    }
                });
        return response.join();
    }

    @Override
    public void close() {
        worker.shutdownNow();
        buffers.close();
    }

    record Response(int status, String body) {}
}
