package org.snipeslip.standin;

/**
 * How a backend server stand-in behaves at a moment.
 *
 * @param slowFactor multiplies service times; 1 is normal
 * @param failFast whether it answers 500 at once
 * @param draining whether it reports that it drains
 * @param coldCalls calls it must finish before it is warm; set when it goes cold
 * @param loadLagMillis age of the load that it reports
 * @param connectionsRefused whether it closes each connection without an answer
 */
public record Behaviour(
        double slowFactor,
        boolean failFast,
        boolean draining,
        int coldCalls,
        long loadLagMillis,
        boolean connectionsRefused) {
    /** A warm, healthy server. */
    public static final Behaviour NORMAL = new Behaviour(1, false, false, 0, 0, false);

    /**
     * Returns a copy with other slowness.
     *
     * @param factor multiplies service times
     * @return the copy
     */
    public Behaviour withSlowFactor(double factor) {
        return new Behaviour(
                factor, failFast, draining, coldCalls, loadLagMillis, connectionsRefused);
    }

    /**
     * Returns a copy that fails fast or not.
     *
     * @param fails whether it answers 500 at once
     * @return the copy
     */
    public Behaviour withFailFast(boolean fails) {
        return new Behaviour(
                slowFactor, fails, draining, coldCalls, loadLagMillis, connectionsRefused);
    }

    /**
     * Returns a copy that is cold.
     *
     * @param calls calls it must finish before it is warm
     * @return the copy
     */
    public Behaviour withColdCalls(int calls) {
        return new Behaviour(
                slowFactor, failFast, draining, calls, loadLagMillis, connectionsRefused);
    }
}
