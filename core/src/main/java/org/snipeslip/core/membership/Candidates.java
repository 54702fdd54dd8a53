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
 * Addresses from the settings and the platform's list at which no member is known yet. They are
 * pinged with growing delays; only an answer makes a member.
 */
final class Candidates {
    private static final long FIRST_DELAY_NANOS = 1_000_000_000;
    private static final long MAX_DELAY_NANOS = 30 * FIRST_DELAY_NANOS;
    private static final int PINGS_PER_TICK = 8;

    private final PeerAddress own;
    private final int limit;
    private final Set<PeerAddress> seeds;
    private final Map<PeerAddress, Attempt> attempts = new LinkedHashMap<>();

    Candidates(PeerAddress own, List<PeerAddress> seeds, int limit) {
        this.own = own;
        this.limit = limit;
        this.seeds = new LinkedHashSet<>(seeds);
        seeds.forEach(seed -> attempts.put(seed, new Attempt(0, FIRST_DELAY_NANOS)));
        attempts.remove(own);
    }

    /** Replaces the addresses of the platform's list. */
    void listed(Set<PeerAddress> addresses) {
        attempts.keySet().removeIf(a -> !addresses.contains(a) && !seeds.contains(a));
        for (PeerAddress address : addresses) {
            if (attempts.size() < limit && !address.equals(own)) {
                attempts.putIfAbsent(address, new Attempt(0, FIRST_DELAY_NANOS));
            }
        }
    }

    /** Returns the addresses to ping now. */
    List<PeerAddress> due(MemberTable table, long nowNanos) {
        Set<PeerAddress> known = new LinkedHashSet<>();
        for (MemberUpdate member : table.select(s -> s != MemberStatus.DEAD)) {
            known.add(member.address());
        }
        List<PeerAddress> due = new ArrayList<>();
        Iterator<Map.Entry<PeerAddress, Attempt>> iterator = attempts.entrySet().iterator();
        while (iterator.hasNext() && due.size() < PINGS_PER_TICK) {
            Map.Entry<PeerAddress, Attempt> entry = iterator.next();
            Attempt attempt = entry.getValue();
            if (!known.contains(entry.getKey()) && nowNanos >= attempt.atNanos) {
                due.add(entry.getKey());
                entry.setValue(
                        new Attempt(
                                nowNanos + attempt.delayNanos,
                                Math.min(MAX_DELAY_NANOS, 2 * attempt.delayNanos)));
            }
        }
        return due;
    }

    /** When an address is pinged next and how long to wait after that. */
    private record Attempt(long atNanos, long delayNanos) {}
}
