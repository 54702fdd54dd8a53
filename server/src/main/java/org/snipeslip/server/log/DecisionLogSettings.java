package org.snipeslip.server.log;

/**
 * Settings of the decision log.
 *
 * @param sampleRatio fraction of the calls whose decisions are logged, from 0 to 1
 * @param queueLines maximum number of queued lines; further lines are dropped and counted
 */
public record DecisionLogSettings(double sampleRatio, int queueLines) {
    /** Logs every decision, as long as the writer keeps up. */
    public static final DecisionLogSettings DEFAULT = new DecisionLogSettings(1, 8_192);

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if the ratio is outside 0 to 1 or the queue holds no line
     */
    public DecisionLogSettings {
        if (!(sampleRatio >= 0 && sampleRatio <= 1) || queueLines < 1) {
            throw new IllegalArgumentException(
                    "decision log: expected share from 0 to 1, queue of at least 1; got share "
                            + sampleRatio
                            + ", queue "
                            + queueLines);
        }
    }
}
