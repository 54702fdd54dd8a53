package org.snipeslip.server.log;

/**
 * Settings of the decision log.
 *
 * @param share part of the calls whose decisions are logged, from 0 to 1
 * @param queueLines lines that may wait to be written; further ones are dropped and counted
 */
public record DecisionLogSettings(double share, int queueLines) {
    /** Every decision, as far as the writer keeps up. */
    public static final DecisionLogSettings DEFAULT = new DecisionLogSettings(1, 8_192);

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if the share is outside 0 to 1 or the queue has no room
     */
    public DecisionLogSettings {
        if (!(share >= 0 && share <= 1) || queueLines < 1) {
            throw new IllegalArgumentException("share " + share + ", queue " + queueLines);
        }
    }
}
