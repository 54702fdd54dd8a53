package org.snipeslip.core.selection;

import java.util.Arrays;
import org.snipeslip.core.load.ServerLoad;

/**
 * The eligible backend servers of one decision, with room for their scores. A shard reuses one
 * instance for all its decisions, so that a decision allocates nothing.
 */
public final class Candidates {
    private static final int FIRST_CAPACITY = 32;
    private static final double NOT_COMPUTED = -1;

    private ServerLoad[] loads = new ServerLoad[FIRST_CAPACITY];
    private double[] scores = new double[FIRST_CAPACITY];
    private int size;

    /** Removes all candidates. */
    public void clear() {
        size = 0;
    }

    /**
     * Adds a candidate.
     *
     * @param load its load data
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
     * @return the number
     */
    public int size() {
        return size;
    }

    /**
     * Returns a candidate.
     *
     * @param index its position
     * @return its load data
     */
    public ServerLoad get(int index) {
        return loads[index];
    }

    /**
     * Returns the score that the policy gave to a candidate.
     *
     * @param index its position
     * @return the expected time in nanoseconds, or -1 if the policy computes none
     */
    public double score(int index) {
        return scores[index];
    }

    void score(int index, double scoreNanos) {
        scores[index] = scoreNanos;
    }
}
