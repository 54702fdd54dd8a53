package org.snipeslip.standin;

import java.io.IOException;
import java.util.concurrent.Executors;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;

/** Starts a backend server stand-in with its own I/O worker, timers and execution counter. */
public final class BackendServerProcess {
    private static final int QUEUE_LIMIT = 64;

    private BackendServerProcess() {}

    /**
     * Starts the stand-in; the port number is also the seed of its service times.
     *
     * @param host IP address to listen on
     * @param port TCP port
     * @param slots calls processed concurrently
     * @param meanServiceMicros mean service time in microseconds
     * @return the running stand-in
     * @throws IOException if the I/O worker cannot be created
     */
    public static BackendServerStandIn start(
            String host, int port, int slots, long meanServiceMicros) throws IOException {
        return new BackendServerStandIn(
                new BackendServerSpec(host, port, slots, meanServiceMicros, QUEUE_LIMIT, port),
                Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1)),
                Executors.newSingleThreadScheduledExecutor(),
                new ExecutionCounter());
    }
}
