package org.snipeslip.server.runtime;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snipeslip.core.instance.TimerId;

/** The named timers of the state machine, on one thread. */
final class Timers implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Timers.class);

    private final ScheduledThreadPoolExecutor executor;
    private final ConcurrentHashMap<TimerId, Pending> pending = new ConcurrentHashMap<>();

    Timers() {
        executor =
                new ScheduledThreadPoolExecutor(
                        1, Thread.ofPlatform().name("timers").daemon().factory());
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    /** Sets a timer; one of the same name that is still pending is replaced and never fires. */
    void set(TimerId timer, long delayNanos, Consumer<TimerId> task) {
        Pending next = new Pending(timer, task);
        Pending replaced = pending.put(timer, next);
        if (replaced != null) {
            replaced.cancel();
        }
        schedule(next, delayNanos);
    }

    /** Runs a task again and again, from a period after now. */
    void every(long periodMillis, Runnable task) {
        executor.scheduleWithFixedDelay(
                guarded(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
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

    private void schedule(Pending next, long delayNanos) {
        if (!executor.isShutdown()) {
            next.future =
                    executor.schedule(guarded(next), Math.max(0, delayNanos), TimeUnit.NANOSECONDS);
        }
    }

    /** An executor drops a periodic task that throws, and hides the exception. */
    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.error("a timer task failed", e);
            }
        };
    }

    /** A set timer. */
    private final class Pending implements Runnable {
        private final TimerId timer;
        private final Consumer<TimerId> task;
        private volatile ScheduledFuture<?> future;

        Pending(TimerId timer, Consumer<TimerId> task) {
            this.timer = timer;
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
            if (pending.remove(timer, this)) {
                task.accept(timer);
            }
        }
    }
}
