package org.snipeslip.core.config;

/**
 * Limit on the calls of an organisation, as a sum over all instances.
 *
 * @param callsPerSecond sustained rate; 0 for no limit
 * @param burst calls that may come in addition at any moment
 */
public record CallQuota(double callsPerSecond, double burst) {
    /** No limit. */
    public static final CallQuota UNLIMITED = new CallQuota(0, 0);

    /**
     * Returns whether there is a limit.
     *
     * @return false if any number of calls is allowed
     */
    public boolean isLimited() {
        return callsPerSecond > 0;
    }
}
