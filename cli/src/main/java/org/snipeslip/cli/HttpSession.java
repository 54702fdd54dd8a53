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

/** HTTP connections of one command; each call waits for its end. */
final class HttpSession implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final long TIMEOUT_MILLIS = 5_000;

    private final XnioWorker worker;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final SimpleHttpClient client;

    HttpSession() throws IOException {
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

    /** Returns the object API at an origin. The client answers each call within its time limit. */
    ObjectStore store(URI origin) {
        ObjectApiClient objectApi = new ObjectApiClient(client, origin);
        return request -> {
            CompletableFuture<StoreAnswer> answer = new CompletableFuture<>();
            objectApi.call(request, answer::complete);
            return answer.join();
        };
    }

    /** Reads a resource of an operator port. */
    Either<IOException, Reply> get(URI origin, String target) {
        CompletableFuture<Either<IOException, Reply>> reply = new CompletableFuture<>();
        client.send(
                new SimpleHttpRequest(origin, "GET", target, Map.of(), ""),
                TIMEOUT_MILLIS,
                new SimpleHttpListener() {
                    @Override
                    public void responseReceived(
                            int status, UnaryOperator<String> header, String body) {
                        reply.complete(Either.right(new Reply(status, body)));
                    }

                    @Override
                    public void failed(boolean sent, IOException cause) {
                        reply.complete(Either.left(cause));
                    }
                });
        return reply.join();
    }

    @Override
    public void close() {
        worker.shutdownNow();
        buffers.close();
    }

    /**
     * A response.
     *
     * @param status status code
     * @param body text
     */
    record Reply(int status, String body) {}
}
