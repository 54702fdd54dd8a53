package org.snipeslip.core.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.PriorityQueue;

/** Runs scheduled tasks in the order of their virtual times. */
public class VirtualTime {
    private static final int MAX_TASKS_AT_ONE_TIME = 10_000;

    long nowNanos;

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long sequence;
    private int tasksAtSameTime;

    /**
     * Returns the current time.
     *
     * @return the time in nanoseconds, 0 at the start
     */
    public long nowNanos() {
        return nowNanos;
    }

    /**
     * Runs all tasks that are due within a time.
     *
     * @param nanos the time in nanoseconds
     */
    public void runFor(long nanos) {
        long end = nowNanos + nanos;
        while (!tasks.isEmpty() && tasks.peek().atNanos <= end) {
            Task task = tasks.poll();
            tasksAtSameTime = task.atNanos > nowNanos ? 0 : tasksAtSameTime + 1;
            assertThat(tasksAtSameTime)
                    .as("events without progress of virtual time")
                    .isLessThan(MAX_TASKS_AT_ONE_TIME);
            nowNanos = Math.max(nowNanos, task.atNanos);
            task.work.run();
        }
        nowNanos = end;
    }

    /**
     * Schedules a task.
     *
     * @param delayNanos time until it runs
     * @param work the task
     * @return its sequence number, which orders tasks of equal time
     */
    public long schedule(long delayNanos, Runnable work) {
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
