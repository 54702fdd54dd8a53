package org.snipeslip.core.selection;

import java.util.Arrays;
import org.snipeslip.core.load.ServerLoad;

/**
 * The eligible backend servers of one decision and their scores. A shard reuses one object for all
 * its decisions, so that a decision usually allocates no memory.
 */
public final class Candidates {
    private static final int INITIAL_CAPACITY = 32;
    private static final double NOT_COMPUTED = -1;

    private ServerLoad[] loads = new ServerLoad[INITIAL_CAPACITY];
    private double[] scores = new double[INITIAL_CAPACITY];
    private int size;

    /** Removes all candidates and keeps the allocated arrays for the next decision. */
    public void clear() {
        size = 0;
    }

    /**
     * Adds a candidate without a score.
     *
     * @param load the load data of the backend server
     */
    public void add(ServerLoad load) {
        if (size == loads.length) {
            loads = Arrays.copyOf(loads, 2 * size);
            scores = Arrays.copyOf(scores, 2 * size);
        }
        scores[size] = NOT_COMPUTED;
        loads[size++] = load;
    }

    /**
     * Returns the number of candidates.
     *
     * @return the number; indexes range from 0 to one below it
     */
    public int size() {
        return size;
    }

    /**
     * Returns the load data of a candidate.
     *
     * @param index index of the candidate, from 0 in the order of addition
     * @return the load data
     */
    public ServerLoad get(int index) {
        return loads[index];
    }

    /**
     * Returns the score that the policy computed for a candidate.
     *
     * @param index index of the candidate
     * @return the expected time in nanoseconds, or -1 if the policy computed no score
     */
    public double score(int index) {
        return scores[index];
    }

    void setScore(int index, double scoreNanos) {
        scores[index] = scoreNanos;
    }
}
