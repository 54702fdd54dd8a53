package org.snipeslip.server.runtime;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snipeslip.core.access.FreezeDetector;
import org.snipeslip.server.operator.InstanceMetrics;

/** Reads the clocks, so that nothing is decided by ages from before a freeze of the process. */
final class ClockWatch {
    private static final Logger LOG = LoggerFactory.getLogger(ClockWatch.class);

    private final InstanceMetrics metrics;
    private final Runnable onJump;

    /** Guards itself; held until a jump has been handled. */
    private final FreezeDetector detector = new FreezeDetector();

    /**
     * Creates a watch.
     *
     * @param metrics counts the jumps
     * @param onJump called after each jump, before any {@link #check} returns
     */
    ClockWatch(InstanceMetrics metrics, Runnable onJump) {
        this.metrics = metrics;
        this.onJump = onJump;
    }

    /** Compares the clocks; must be called before a decision by an age, on any thread. */
    void check() {
        synchronized (detector) {
            long wallNanos = TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis());
            long jumpNanos = detector.check(wallNanos, System.nanoTime());
            if (jumpNanos > 0) {
                metrics.clockJumped();
                LOG.atWarn()
                        .addKeyValue("jumpMillis", TimeUnit.NANOSECONDS.toMillis(jumpNanos))
                        .log("wall clock jumped, or the process was frozen");
                onJump.run();
            }
        }
    }
}
