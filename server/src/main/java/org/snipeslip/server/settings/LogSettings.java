package org.snipeslip.server.settings;

/**
 * Settings of the decision log.
 *
 * @param decisions which decisions are logged
 * @param sampleEvery one decision in this many is logged; applies to SAMPLE only
 */
public record LogSettings(Decisions decisions, int sampleEvery) {
    /** Default settings: all decisions are logged. */
    public static final LogSettings DEFAULT = new LogSettings(Decisions.ON, 100);

    /**
     * Returns the fraction of calls whose decisions are logged.
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
        /** All decisions. */
        ON,
        /** No decisions. */
        OFF,
        /** One decision in every {@link LogSettings#sampleEvery}. */
        SAMPLE
    }
}
