package org.snipeslip.core.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.snipeslip.core.call.InstanceShare;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.suspect.SuspectPeer;

/**
 * The instances that share the quotas, the parts that they own, and the coordinator of each region.
 * Not thread-safe.
 */
final class QuotaFleet {
    private static final long MIX_1 = 0xFF51AFD7ED558CCDL;
    private static final long MIX_2 = 0xC4CEB9FE1A85EC53L;

    private final SuspectPeer self;
    private final Map<String, QuotaLender> links = new TreeMap<>();
    private final Map<RegionId, List<SuspectPeer>> regions = new LinkedHashMap<>();
    private final Map<OrganisationId, Map<String, Integer>> parts = new HashMap<>();
    private final Set<String> announced = new TreeSet<>();
    private InstanceShare share = new InstanceShare(1, true);

    QuotaFleet(InstanceId instance, RegionId region) {
        self = new SuspectPeer(instance.value(), region, "");
        setMembers(share, List.of());
    }

    /** Replaces the instances; returns whether anything has changed. */
    boolean setMembers(InstanceShare newShare, List<SuspectPeer> others) {
        boolean same = newShare.equals(share) && links.size() == others.size();
        for (SuspectPeer other : others) {
            QuotaLender link = links.get(other.name());
            same &= link != null && link.peer().equals(other);
        }
        if (same && !regions.isEmpty()) {
            return false;
        }
        share = newShare;
        newShare.others().forEach(other -> announced.remove(other.name()));
        parts.clear();
        regions.clear();
        List<SuspectPeer> all = new ArrayList<>(others);
        all.add(self);
        all.sort(Comparator.comparingLong(QuotaFleet::rank).thenComparing(SuspectPeer::name));
        all.forEach(
                peer -> regions.computeIfAbsent(peer.region(), r -> new ArrayList<>()).add(peer));
        Map<String, QuotaLender> before = Map.copyOf(links);
        links.clear();
        for (SuspectPeer other : others) {
            QuotaLender known = before.get(other.name());
            boolean keeps = known != null && known.peer().equals(other);
            links.put(other.name(), keeps ? known : new QuotaLender(other));
        }
        return true;
    }

    /** Returns the link to an instance, or null if it is not known. */
    QuotaLender link(String name) {
        return links.get(name);
    }

    Iterable<QuotaLender> links() {
        return links.values();
    }

    boolean isNeighbour(QuotaLender link) {
        return link.peer().region().equals(self.region());
    }

    /** Returns the part of this instance in a number of calls. */
    int ownPart(OrganisationId organisation, int calls) {
        return counting().equalPart(calls, organisation.value(), share.own());
    }

    /**
     * Counts an instance that may be missing from the list.
     *
     * @return whether it was not counted before
     */
    boolean announce(String name) {
        return share.others().stream().noneMatch(other -> other.name().equals(name))
                && announced.add(name);
    }

    private InstanceShare counting() {
        int listed = Math.max(share.instances(), share.others().size() + 1);
        return new InstanceShare(
                listed + announced.size(), share.own(), share.others(), share.counted());
    }

    /** Returns the coordinator of the own region, or null if it is this instance. */
    QuotaLender coordinator(long nowNanos) {
        return coordinator(self.region(), nowNanos);
    }

    /** Returns the coordinators of other regions, as far as any instance of them answers. */
    List<QuotaLender> otherCoordinators(long nowNanos) {
        return regions.keySet().stream()
                .filter(region -> !region.equals(self.region()))
                .map(region -> coordinator(region, nowNanos))
                .filter(link -> link != null)
                .toList();
    }

    /** Returns the other instances of the own region that answer. */
    List<QuotaLender> neighbours(long nowNanos) {
        return regions.get(self.region()).stream()
                .map(peer -> links.get(peer.name()))
                .filter(link -> link != null && !link.isAvoided(nowNanos))
                .toList();
    }

    /**
     * Returns the part that another instance owns in a number of calls.
     *
     * @param calls the same for each call until {@link #forgetParts}
     */
    int partOf(SuspectPeer peer, OrganisationId organisation, int calls) {
        InstanceShare.Member member = new InstanceShare.Member(peer.name(), peer.region().value());
        return parts.computeIfAbsent(organisation, o -> new HashMap<>())
                .computeIfAbsent(
                        peer.name(), name -> share.equalPart(calls, organisation.value(), member));
    }

    /** Forgets the parts of others after the numbers of calls have changed. */
    void forgetParts() {
        parts.clear();
    }

    private QuotaLender coordinator(RegionId region, long nowNanos) {
        for (SuspectPeer peer : regions.get(region)) {
            QuotaLender link = links.get(peer.name());
            if (link == null) {
                return null;
            }
            if (!link.isAvoided(nowNanos)) {
                return link;
            }
        }
        return null;
    }

    private static long rank(SuspectPeer peer) {
        long mixed = peer.name().hashCode() * MIX_2;
        mixed = (mixed ^ mixed >>> 33) * MIX_1;
        return mixed ^ mixed >>> 33;
    }
}
