package org.snipeslip.core.control;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual clock that runs tasks in the order of their times, and of their submission if equal. */
final class VirtualClock {
    static final long MILLI = 1_000_000;

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::atNanos).thenComparingLong(Task::number));
    private long nowNanos;
    private long nextNumber;

    long nowNanos() {
        return nowNanos;
    }

    void after(long millis, Runnable action) {
        afterNanos(millis * MILLI, action);
    }

    void afterNanos(long nanos, Runnable action) {
        tasks.add(new Task(nowNanos + nanos, nextNumber++, action));
    }

    /** Advances the clock by a duration and runs the tasks that become due. */
    void run(long millis) {
        long endNanos = nowNanos + millis * MILLI;
        while (!tasks.isEmpty() && tasks.peek().atNanos <= endNanos) {
            Task task = tasks.remove();
            nowNanos = task.atNanos;
            task.action.run();
        }
        nowNanos = endNanos;
    }

    private record Task(long atNanos, long number, Runnable action) {}
}
