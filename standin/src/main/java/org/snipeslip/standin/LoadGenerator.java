package org.snipeslip.standin;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.locks.LockSupport;
import org.snipeslip.server.http.SimpleHttpClient;
import org.snipeslip.server.http.SimpleHttpRequest;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Open-loop load generator with Poisson arrivals. Latency is measured from the planned send time,
 * so that a late send does not hide waiting time (coordinated omission).
 */
public final class LoadGenerator implements AutoCloseable {
    private static final long TIMEOUT_MILLIS = 15_000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int MAX_IDLE_PER_ORIGIN = 512;
    private static final int IO_THREADS = 2;

    private final XnioWorker worker;
    private final DefaultByteBufferPool buffers;
    private final List<SimpleHttpClient> clients = new ArrayList<>();

    /**
     * Creates a generator.
     *
     * @throws IOException if the I/O worker cannot be created
     */
    public LoadGenerator() throws IOException {
        worker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, IO_THREADS)
                                        .set(Options.TCP_NODELAY, true)
                                        .getMap());
        buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, 1_000, 4);
        for (int i = 0; i < IO_THREADS; i++) {
            clients.add(new SimpleHttpClient(worker.getIoThread(i), buffers, MAX_IDLE_PER_ORIGIN));
        }
    }

    /**
     * Sends calls and blocks until all have completed. Concurrent runs need one thread each.
     *
     * @param plan what to send
     * @param seconds how long to send
     * @param seed seed of the arrival times
     * @return latencies and results
     * @throws InterruptedException if the thread is interrupted
     */
    public LoadResult run(CallPlan plan, double seconds, long seed) throws InterruptedException {
        LoadRecorder recorder = new LoadRecorder();
        SplittableRandom random = new SplittableRandom(seed);
        long startNanos = System.nanoTime();
        double atNanos = 0;
        for (int i = 0; atNanos < seconds * NANOS_PER_SECOND; i++) {
            long plannedNanos = startNanos + (long) atNanos;
            parkUntil(plannedNanos);
            for (int copy = 0; copy < plan.copies(); copy++) {
                send(plan, i, copy, plannedNanos, recorder);
            }
            atNanos -= Math.log(1 - random.nextDouble()) * NANOS_PER_SECOND / plan.callsPerSecond();
        }
        return recorder.awaitResult();
    }

    private void send(
            CallPlan plan, int index, int copy, long plannedNanos, LoadRecorder recorder) {
        Map<String, String> headers = new HashMap<>(plan.headers());
        String body = "";
        if (!plan.keyPrefix().isEmpty()) {
            headers.put("Idempotency-Key", plan.keyPrefix() + "-" + index);
            body = "charge " + index;
        }
        List<URI> origins = plan.origins().get();
        URI origin = origins.get((index + copy) % origins.size());
        recorder.countSent();
        clients.get(index % clients.size())
                .send(
                        new SimpleHttpRequest(origin, plan.method(), plan.path(), headers, body),
                        TIMEOUT_MILLIS,
                        recorder.listener(plannedNanos));
    }

    private static void parkUntil(long untilNanos) {
        long nowNanos;
        while ((nowNanos = System.nanoTime()) < untilNanos) {
            LockSupport.parkNanos(untilNanos - nowNanos);
        }
    }

    @Override
    public void close() {
        worker.shutdown();
        buffers.close();
    }
}
