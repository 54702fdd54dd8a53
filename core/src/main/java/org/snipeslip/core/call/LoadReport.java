package org.snipeslip.core.call;

/**
 * Load that a backend server reported about itself.
 *
 * @param inFlight calls it is working on or holds in its queue, or -1 if unknown
 * @param slots calls it can work on at once, or -1 if unknown
 * @param draining whether it asks for no new work
 * @param cold whether it says that it is cold
 * @param slowdown how long work takes there now, relative to the usual 1
 * @param unwell whether it says that it cannot serve; such an answer may be false
 */
public record LoadReport(
        int inFlight, int slots, boolean draining, boolean cold, double slowdown, boolean unwell) {
    /** No report came with the response. */
    public static final LoadReport UNKNOWN = new LoadReport(-1, -1, false, false);

    /**
     * Creates a report of a server that works at its usual pace.
     *
     * @param inFlight calls it is working on or holds in its queue, or -1 if unknown
     * @param slots calls it can work on at once, or -1 if unknown
     * @param draining whether it asks for no new work
     * @param cold whether it says that it is cold
     */
    public LoadReport(int inFlight, int slots, boolean draining, boolean cold) {
        this(inFlight, slots, draining, cold, 1, false);
    }

    /**
     * Returns this report as one of a server that says it cannot serve.
     *
     * @return the changed report
     */
    public LoadReport asUnwell() {
        return new LoadReport(inFlight, slots, draining, cold, slowdown, true);
    }

    /**
     * Tells whether the report carries figures.
     *
     * @return true if the in-flight count is known
     */
    public boolean isKnown() {
        return inFlight >= 0;
    }
}
