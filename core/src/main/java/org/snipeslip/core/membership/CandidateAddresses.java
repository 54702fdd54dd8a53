package org.snipeslip.core.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snipeslip.core.peer.MemberStatus;
import org.snipeslip.core.peer.MemberUpdate;
import org.snipeslip.core.peer.PeerAddress;

/**
 * Addresses from the settings and from the platform's instance list at which no member is known
 * yet. They are pinged with exponentially growing delays. An instance is added to the members only
 * when a message from it or about it is received.
 */
final class CandidateAddresses {
    private static final long FIRST_DELAY_NANOS = 1_000_000_000;
    private static final long MAX_DELAY_NANOS = 30 * FIRST_DELAY_NANOS;
    private static final int PINGS_PER_TICK = 8;

    private final PeerAddress ownAddress;
    private final int limit;
    private final Set<PeerAddress> seeds;
    private final Map<PeerAddress, Attempt> attempts = new LinkedHashMap<>();

    CandidateAddresses(PeerAddress ownAddress, List<PeerAddress> seeds, int limit) {
        this.ownAddress = ownAddress;
        this.limit = limit;
        this.seeds = new LinkedHashSet<>(seeds);
        seeds.forEach(seed -> attempts.put(seed, new Attempt(0, FIRST_DELAY_NANOS)));
        attempts.remove(ownAddress);
    }

    /** Replaces the addresses that came from the platform's instance list; seeds are kept. */
    void replaceListed(Set<PeerAddress> addresses) {
        attempts.keySet().removeIf(a -> !addresses.contains(a) && !seeds.contains(a));
        for (PeerAddress address : addresses) {
            if (attempts.size() < limit && !address.equals(ownAddress)) {
                attempts.putIfAbsent(address, new Attempt(0, FIRST_DELAY_NANOS));
            }
        }
    }

    /** Returns the addresses to ping now and schedules the next ping of each. */
    List<PeerAddress> selectDue(MemberTable table, long nowNanos) {
        Set<PeerAddress> known = new LinkedHashSet<>();
        for (MemberUpdate member : table.select(s -> s != MemberStatus.DEAD)) {
            known.add(member.address());
        }
        List<PeerAddress> due = new ArrayList<>();
        Iterator<Map.Entry<PeerAddress, Attempt>> iterator = attempts.entrySet().iterator();
        while (iterator.hasNext() && due.size() < PINGS_PER_TICK) {
            Map.Entry<PeerAddress, Attempt> entry = iterator.next();
            Attempt attempt = entry.getValue();
            if (!known.contains(entry.getKey()) && nowNanos >= attempt.nextPingNanos) {
                due.add(entry.getKey());
                entry.setValue(
                        new Attempt(
                                nowNanos + attempt.delayNanos,
                                Math.min(MAX_DELAY_NANOS, 2 * attempt.delayNanos)));
            }
        }
        return due;
    }

    /** Time of the next ping of an address, and the delay from that ping to the one after it. */
    private record Attempt(long nextPingNanos, long delayNanos) {}
}
