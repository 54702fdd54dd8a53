package org.snipeslip.server.runtime;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Creates and stops the XNIO worker that runs the I/O of a process. */
final class IoWorkers {
    private static final int TASK_THREADS = 2;
    private static final long STOP_TIMEOUT_SECONDS = 2;

    private IoWorkers() {}

    static XnioWorker create(int ioThreads) throws IOException {
        return Xnio.getInstance()
                .createWorker(
                        OptionMap.builder()
                                .set(Options.WORKER_IO_THREADS, ioThreads)
                                .set(Options.WORKER_TASK_CORE_THREADS, TASK_THREADS)
                                .set(Options.WORKER_TASK_MAX_THREADS, TASK_THREADS)
                                .set(Options.TCP_NODELAY, true)
                                .getMap());
    }

    static void stop(XnioWorker worker) {
        worker.shutdownNow();
        try {
            worker.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
