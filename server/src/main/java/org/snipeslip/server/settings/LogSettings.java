package org.snipeslip.server.settings;

/**
 * Settings of the log.
 *
 * @param decisions which decisions are logged
 * @param sampleEvery one of how many decisions is logged if they are sampled
 */
public record LogSettings(Decisions decisions, int sampleEvery) {
    /** Defaults. */
    public static final LogSettings DEFAULT = new LogSettings(Decisions.ON, 100);

    /**
     * Returns the part of the calls whose decisions are logged.
     *
     * @return from 0 to 1
     */
    public double loggedFraction() {
        return switch (decisions) {
            case ON -> 1;
            case OFF -> 0;
            case SAMPLE -> 1.0 / sampleEvery;
        };
    }

    /** Which decisions are logged. */
    public enum Decisions {
        /** All. */
        ON,
        /** None. */
        OFF,
        /** One of {@link LogSettings#sampleEvery}. */
        SAMPLE
    }
}
