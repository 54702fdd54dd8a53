package org.snipeslip.core.discovery;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs tasks in the order of their times. */
final class VirtualTime {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atNanos).thenComparing(Task::order));
    private long nowNanos = NANOS_PER_MILLI;
    private long order;

    long nowNanos() {
        return nowNanos;
    }

    void after(double millis, Runnable action) {
        long atNanos = nowNanos + Math.max(0, (long) (millis * NANOS_PER_MILLI));
        tasks.add(new Task(atNanos, order++, action));
    }

    void runUntil(long endNanos) {
        while (!tasks.isEmpty() && tasks.peek().atNanos <= endNanos) {
            Task task = tasks.poll();
            nowNanos = task.atNanos;
            task.action.run();
        }
        nowNanos = endNanos;
    }

    private record Task(long atNanos, long order, Runnable action) {}
}
