package org.snipeslip.standin;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreRequest;
import org.snipeslip.server.config.ConfigJson;
import org.snipeslip.server.http.SimpleHttpClient;
import org.snipeslip.server.store.ObjectApiClient;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Publishes the configuration of an embedded deployment. It must be the only writer, because it
 * keeps the generation and the version of the head in memory.
 */
final class ConfigPublisher implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;

    private final ConfigJson codec = new ConfigJson();
    private final XnioWorker worker;
    private final DefaultByteBufferPool buffers;
    private final ObjectApiClient client;
    private Generation generation = Generation.NONE;
    private long headVersion;

    ConfigPublisher(URI objectApi) throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
        client =
                new ObjectApiClient(new SimpleHttpClient(worker.getIoThread(), buffers), objectApi);
    }

    void publish(List<String> objects) throws IOException, InterruptedException {
        List<String> digests = new ArrayList<>();
        for (String object : objects) {
            String digest = codec.digest(object);
            digests.add(digest);
            call(new StoreRequest.Create(ConfigHead.PART_PREFIX + digest, object));
        }
        generation = generation.next();
        String head = codec.encodeHead(new ConfigHead(generation, "demo", digests));
        StoreAnswer answer =
                call(
                        headVersion == 0
                                ? new StoreRequest.Create(ConfigHead.KEY, head)
                                : new StoreRequest.Update(ConfigHead.KEY, head, headVersion));
        if (!(answer instanceof StoreAnswer.Written written)) {
            throw new IOException("object API did not accept generation " + generation);
        }
        headVersion = written.version();
    }

    private StoreAnswer call(StoreRequest request) throws IOException, InterruptedException {
        CompletableFuture<StoreAnswer> answer = new CompletableFuture<>();
        client.call(request, answer::complete);
        try {
            return answer.get();
        } catch (ExecutionException e) {
            throw new IOException(e);
        }
    }

    @Override
    public void close() {
        worker.shutdown();
        buffers.close();
    }
}
