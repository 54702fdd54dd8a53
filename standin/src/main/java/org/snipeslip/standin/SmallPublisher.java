package org.snipeslip.standin;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreRequest;
import org.snipeslip.server.http.HttpMessageClient;
import org.snipeslip.server.store.ObjectApiClient;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Writes objects to the object API and waits for each answer. */
final class SmallPublisher {
    private static final int BUFFER_BYTES = 16 * 1024;

    private final URI objectApi;

    SmallPublisher(URI objectApi) {
        this.objectApi = objectApi;
    }

    void create(String key, String value) throws IOException, InterruptedException {
        XnioWorker worker =
                Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        try (DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES)) {
            ObjectApiClient client =
                    new ObjectApiClient(
                            new HttpMessageClient(worker.getIoThread(), buffers), objectApi);
            CompletableFuture<StoreAnswer> answer = new CompletableFuture<>();
            client.call(new StoreRequest.Create(key, value), answer::complete);
            if (!(answer.get() instanceof StoreAnswer.Written)) {
                throw new IOException("the object API did not accept " + key);
            }
        } catch (ExecutionException e) {
            throw new IOException(e);
        } finally {
            worker.shutdown();
        }
    }
}
