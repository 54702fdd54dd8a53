package org.snipeslip.server.runtime;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snipeslip.core.instance.TimerId;

/** Runs the timers of the state machine, which are identified by name, on one daemon thread. */
final class Timers implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Timers.class);

    private final ScheduledThreadPoolExecutor executor;
    private final ConcurrentHashMap<TimerId, PendingTimer> pendingTimers =
            new ConcurrentHashMap<>();

    Timers() {
        executor =
                new ScheduledThreadPoolExecutor(
                        1, Thread.ofPlatform().name("timers").daemon().factory());
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    /**
     * Sets a timer. A pending timer with the same id is replaced and does not fire.
     *
     * @param unlessEarlier whether to keep the pending timer instead if it fires earlier
     */
    void set(TimerId timer, long delayNanos, boolean unlessEarlier, Consumer<TimerId> task) {
        PendingTimer added = new PendingTimer(timer, System.nanoTime() + delayNanos, task);
        PendingTimer kept =
                pendingTimers.compute(
                        timer,
                        (id, pending) -> {
                            if (pending == null) {
                                return added;
                            }
                            if (unlessEarlier && pending.dueNanos - added.dueNanos <= 0) {
                                return pending;
                            }
                            pending.cancel();
                            return added;
                        });
        if (kept == added) {
            schedule(added, delayNanos);
        }
    }

    /** Runs a task periodically; the first run is one period from now. */
    void scheduleRepeating(long periodMillis, Runnable task) {
        executor.scheduleWithFixedDelay(
                loggingExceptions(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        executor.shutdownNow();
        try {
            executor.awaitTermination(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void schedule(PendingTimer pendingTimer, long delayNanos) {
        if (!executor.isShutdown()) {
            pendingTimer.future =
                    executor.schedule(
                            loggingExceptions(pendingTimer),
                            Math.max(0, delayNanos),
                            TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Without this, the executor would cancel a periodic task that throws and hide the exception.
     */
    private static Runnable loggingExceptions(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.error("timer task failed", e);
            }
        };
    }

    /** A timer that is set and has not fired yet; it fires only if it was not replaced. */
    private final class PendingTimer implements Runnable {
        private final TimerId timer;
        private final long dueNanos;
        private final Consumer<TimerId> task;
        private volatile ScheduledFuture<?> future;

        PendingTimer(TimerId timer, long dueNanos, Consumer<TimerId> task) {
            this.timer = timer;
            this.dueNanos = dueNanos;
            this.task = task;
        }

        void cancel() {
            ScheduledFuture<?> scheduled = future;
            if (scheduled != null) {
                scheduled.cancel(false);
            }
        }

        @Override
        public void run() {
            if (pendingTimers.remove(timer, this)) {
                task.accept(timer);
            }
        }
    }
}
