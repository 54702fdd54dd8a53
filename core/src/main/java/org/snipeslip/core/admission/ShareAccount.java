package org.snipeslip.core.admission;

/** What the calls of one {@link ShareKey}, or all calls, asked for and did not get. */
final class ShareAccount {
    private static final double HALF_LIFE_NANOS = 2e9;

    private final DecayedCount offered = new DecayedCount(HALF_LIFE_NANOS);
    private final DecayedCount refused = new DecayedCount(HALF_LIFE_NANOS);
    private int weight = 1;

    void offer(int newWeight, long nowNanos) {
        weight = Math.max(1, newWeight);
        offered.add(nowNanos);
    }

    void refuse(long nowNanos) {
        refused.add(nowNanos);
    }

    double offered(long nowNanos) {
        return offered.at(nowNanos);
    }

    double served(long nowNanos) {
        return Math.max(0, offered.at(nowNanos) - refused.at(nowNanos));
    }

    /** Returns the part that was not refused, 1 if nothing was asked for. */
    double servedPart(long nowNanos) {
        double sum = offered(nowNanos);
        return sum <= 0 ? 1 : served(nowNanos) / sum;
    }

    int weight() {
        return weight;
    }
}
