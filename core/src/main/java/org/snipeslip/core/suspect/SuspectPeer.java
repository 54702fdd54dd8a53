package org.snipeslip.core.suspect;

import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RequestDigest;

/**
 * Another instance.
 *
 * @param name its name
 * @param region its region
 * @param address address at which it hears from other instances, IP:PORT
 */
public record SuspectPeer(String name, RegionId region, String address) {
    private static final long MIX_1 = 0xFF51AFD7ED558CCDL;
    private static final long MIX_2 = 0xC4CEB9FE1A85EC53L;

    /** Returns the rank of this instance for a request (rendezvous hashing); the lowest counts. */
    long rank(RequestDigest digest) {
        long mixed = digest.low() ^ (name.hashCode() * MIX_2);
        mixed = (mixed ^ mixed >>> 33) * MIX_1;
        mixed = (mixed ^ mixed >>> 33) * MIX_2;
        return mixed ^ mixed >>> 33;
    }
}
