package org.snipeslip.standin;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.UnaryOperator;
import org.HdrHistogram.Histogram;
import org.snipeslip.server.http.HttpMessage;
import org.snipeslip.server.http.HttpMessageClient;
import org.snipeslip.server.http.HttpMessageListener;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Open-loop load generator. Latency counts from the planned send time, so a late send does not hide
 * a wait (coordinated omission).
 */
public final class LoadGenerator implements AutoCloseable {
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int BUFFER_BYTES = 16 * 1024;

    private final XnioWorker worker;
    private final DefaultByteBufferPool buffers;

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
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.TCP_NODELAY, true)
                                        .getMap());
        buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, 1_000, 4);
    }

    /**
     * Sends calls at a fixed rate and waits for their answers.
     *
     * @param origins targets, taken in turn
     * @param path path of the calls
     * @param callsPerSecond rate
     * @param seconds how long to send
     * @return latencies and results
     * @throws InterruptedException if the thread is interrupted
     */
    public LoadReportSummary run(List<URI> origins, String path, int callsPerSecond, int seconds)
            throws InterruptedException {
        Run run = new Run();
        HttpMessageClient client = new HttpMessageClient(worker.getIoThread(), buffers);
        long calls = (long) callsPerSecond * seconds;
        long startNanos = System.nanoTime();
        for (long i = 0; i < calls; i++) {
            long plannedNanos = startNanos + i * NANOS_PER_SECOND / callsPerSecond;
            while (System.nanoTime() < plannedNanos) {
                LockSupport.parkNanos(plannedNanos - System.nanoTime());
            }
            URI origin = origins.get((int) (i % origins.size()));
            run.open.incrementAndGet();
            client.send(
                    new HttpMessage(origin, "GET", path, Map.of(), ""),
                    TIMEOUT_MILLIS,
                    run.listener(plannedNanos));
        }
        while (run.open.get() > 0) {
            Thread.sleep(1);
        }
        return run.summary();
    }

    @Override
    public void close() {
        worker.shutdownNow();
        buffers.close();
    }

    /** Results of one run. */
    private static final class Run {
        private final AtomicInteger open = new AtomicInteger();
        private final Histogram latencyMicros = new Histogram(60_000_000L, 3);
        private final Map<String, Long> results = new TreeMap<>();

        HttpMessageListener listener(long plannedNanos) {
            return new HttpMessageListener() {
                @Override
                public void answered(int status, UnaryOperator<String> header, String body) {
                    record(plannedNanos, Integer.toString(status));
                }

                @Override
                public void failed(boolean sent, IOException cause) {
                    record(plannedNanos, sent ? "broken" : "not-connected");
                }
            };
        }

        private synchronized void record(long plannedNanos, String result) {
            latencyMicros.recordValue((System.nanoTime() - plannedNanos) / 1_000);
            results.merge(result, 1L, Long::sum);
            open.decrementAndGet();
        }

        synchronized LoadReportSummary summary() {
            return new LoadReportSummary(latencyMicros.copy(), new TreeMap<>(results));
        }
    }
}
