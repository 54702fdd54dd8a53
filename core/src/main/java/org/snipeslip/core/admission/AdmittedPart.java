package org.snipeslip.core.admission;

/**
 * The part of the offered calls for which a service has room. It falls while placements find no
 * server that answers soon enough, and rises else, the faster the smaller it is. All instances
 * measure the same servers, so that their parts converge; a part derived from what one instance
 * served would drift apart from those of others.
 */
final class AdmittedPart {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double RISE_PER_SECOND = 0.2;
    private static final double FALL_PER_SECOND = 1.5;

    /** Above 1, so that the part can reach 1. */
    private static final double RISE_END = 1.5;

    /** Weight of one placement in the mean of late ones. */
    private static final double PLACEMENT_WEIGHT = 0.15;

    private static final double MIN_PART = 0.02;

    /** Placements that come later say little about the time in between. */
    private static final double MAX_STEP_SECONDS = 0.5;

    private double part = 1;
    private double latePart;
    private long updatedNanos;

    /** Records the choice of a server, and whether it is expected to answer soon enough. */
    void placed(boolean soonEnough, long nowNanos) {
        part = at(nowNanos);
        updatedNanos = nowNanos;
        latePart += PLACEMENT_WEIGHT * ((soonEnough ? 0 : 1) - latePart);
    }

    /** Returns the part, 1 if there is room for all. */
    double at(long nowNanos) {
        double seconds =
                Math.clamp((nowNanos - updatedNanos) / NANOS_PER_SECOND, 0, MAX_STEP_SECONDS);
        double rise = RISE_PER_SECOND * (RISE_END - part) * (1 - latePart);
        double factor = 1 + seconds * (rise - FALL_PER_SECOND * latePart);
        return Math.clamp(part * factor, MIN_PART, 1);
    }
}
