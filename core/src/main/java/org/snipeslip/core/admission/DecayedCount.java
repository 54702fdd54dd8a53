package org.snipeslip.core.admission;

/** A number of events, each of which loses half of its weight in every half-life. */
final class DecayedCount {
    private final double halfLifeNanos;
    private double value;
    private long updatedNanos;

    DecayedCount(double halfLifeNanos) {
        this.halfLifeNanos = halfLifeNanos;
    }

    void add(long nowNanos) {
        value = at(nowNanos) + 1;
        updatedNanos = Math.max(updatedNanos, nowNanos);
    }

    double at(long nowNanos) {
        long ageNanos = Math.max(0, nowNanos - updatedNanos);
        return value == 0 ? 0 : value * Math.pow(0.5, ageNanos / halfLifeNanos);
    }
}
