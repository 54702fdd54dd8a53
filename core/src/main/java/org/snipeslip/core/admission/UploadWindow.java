package org.snipeslip.core.admission;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Decides how many requests whose body has not come completely may be calls at a time. Answers
 * crowds of callers that stop within a body: the window is halved when one of them held up a
 * backend server, and grows when a body comes to its end.
 */
public final class UploadWindow {
    private static final int INITIAL_SIZE = 16;
    private static final int MAX_SIZE = 64;

    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private int size = INITIAL_SIZE;
    private int started;

    /**
     * Starts an upload as soon as the window has room.
     *
     * @param start called at once, or later by the thread that ends another upload
     * @return false if it waits
     */
    public boolean start(Runnable start) {
        synchronized (this) {
            if (started >= size) {
                waiting.add(start);
                return false;
            }
            started++;
        }
        start.run();
        return true;
    }

    /**
     * Gives up an upload that waits.
     *
     * @param start the task that was passed to {@link #start}
     * @return false if it has been started
     */
    public synchronized boolean cancel(Runnable start) {
        return waiting.remove(start);
    }

    /**
     * Ends an upload that was started.
     *
     * @param complete whether its body has come to its end
     */
    public void ended(boolean complete) {
        synchronized (this) {
            started--;
            if (complete) {
                size = Math.min(size + 1, MAX_SIZE);
            }
        }
        Runnable next;
        while ((next = next()) != null) {
            next.run();
        }
    }

    /** An upload held up a backend server that others waited for. */
    public synchronized void stalled() {
        size = Math.max(1, size / 2);
    }

    /**
     * Returns the number of uploads that wait.
     *
     * @return waiting uploads
     */
    public synchronized int waitingCount() {
        return waiting.size();
    }

    private synchronized Runnable next() {
        if (started >= size || waiting.isEmpty()) {
            return null;
        }
        started++;
        return waiting.poll();
    }
}
