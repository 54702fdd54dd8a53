package org.snipeslip.standin;

/**
 * Behaviour of a backend server stand-in; also the JSON body of {@code /behaviour}.
 *
 * @param slowFactor multiplies service times; 1 is normal
 * @param failFast whether it responds with 500 immediately
 * @param draining whether it reports that it is draining
 * @param coldCalls calls that the server must still finish before it is warm
 * @param loadLagMillis minimum interval between two updates of the reported load
 * @param connectionsRefused whether it closes each connection without a response
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
     * Returns a copy with another slow-down factor.
     *
     * @param factor multiplies service times
     * @return the copy
     */
    public Behaviour withSlowFactor(double factor) {
        return new Behaviour(
                factor, failFast, draining, coldCalls, loadLagMillis, connectionsRefused);
    }

    /**
     * Returns a copy with fail-fast switched on or off.
     *
     * @param fails whether it responds with 500 immediately
     * @return the copy
     */
    public Behaviour withFailFast(boolean fails) {
        return new Behaviour(
                slowFactor, fails, draining, coldCalls, loadLagMillis, connectionsRefused);
    }

    /**
     * Returns a copy that is cold.
     *
     * @param calls calls that the server must finish before it is warm
     * @return the copy
     */
    public Behaviour withColdCalls(int calls) {
        return new Behaviour(
                slowFactor, failFast, draining, calls, loadLagMillis, connectionsRefused);
    }
}
