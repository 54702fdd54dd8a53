package org.snipeslip.core.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.PriorityQueue;

/** Runs tasks in the order of their times. */
class VirtualTime {
    private static final int MAX_AT_ONCE = 10_000;

    long nowNanos;

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long sequence;
    private int tasksAtOnce;

    void runFor(long nanos) {
        long end = nowNanos + nanos;
        while (!tasks.isEmpty() && tasks.peek().atNanos <= end) {
            Task task = tasks.poll();
            tasksAtOnce = task.atNanos > nowNanos ? 0 : tasksAtOnce + 1;
            assertThat(tasksAtOnce).as("events without progress of time").isLessThan(MAX_AT_ONCE);
            nowNanos = Math.max(nowNanos, task.atNanos);
            task.work.run();
        }
        nowNanos = end;
    }

    /** Returns the number of the task, which grows. */
    long later(long delayNanos, Runnable work) {
        tasks.add(new Task(nowNanos + delayNanos, ++sequence, work));
        return sequence;
    }

    private record Task(long atNanos, long sequence, Runnable work) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
