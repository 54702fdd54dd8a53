package org.snipeslip.core.rollout;

/** Rendezvous hashing: the lowest rank counts. */
final class RolloutRank {
    private static final long MIX_1 = 0xFF51AFD7ED558CCDL;
    private static final long MIX_2 = 0xC4CEB9FE1A85EC53L;

    private RolloutRank() {}

    static long of(String name) {
        long mixed = name.hashCode() * MIX_2;
        mixed = (mixed ^ mixed >>> 33) * MIX_1;
        mixed = (mixed ^ mixed >>> 33) * MIX_2;
        return mixed ^ mixed >>> 33;
    }
}
