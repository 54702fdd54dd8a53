package org.snipeslip.core.detour;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.suspect.SuspectPeer;

/**
 * Knows which other instances would send calls for this one. An instance is used only if it has
 * said so recently: it may be cut off, frozen or stopping itself. The own region is preferred, and
 * within a region the instance that was used last, so that few connections are opened and callers
 * do not meet two versions of the configuration in turns. Guarded by the lock of its owner.
 */
public final class DetourPeers {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Instances of a region that are known to be willing. */
    private static final int WANTED_PER_REGION = 2;

    /** Instances of a region that are asked at a time while fewer are known. */
    private static final int ASKED_PER_REGION = 3;

    /** How long an answer is relied on. */
    private static final long WILLING_NANOS = 800 * NANOS_PER_MILLI;

    /** An answer that is older than this is renewed. */
    private static final long RENEW_NANOS = 250 * NANOS_PER_MILLI;

    /** Pause before an instance that did not answer, or refused, is asked again. */
    private static final long AVOID_NANOS = 700 * NANOS_PER_MILLI;

    private final RegionId ownRegion;
    private final RandomGenerator random;
    private final Map<String, Long> answeredNanos = new HashMap<>();
    private final Map<String, Long> avoidUntilNanos = new HashMap<>();
    private final Map<RegionId, String> lastUsed = new HashMap<>();
    private List<SuspectPeer> peers = List.of();

    /**
     * Creates an empty table.
     *
     * @param ownRegion region of this instance
     * @param random source of the choices
     */
    public DetourPeers(RegionId ownRegion, RandomGenerator random) {
        this.ownRegion = ownRegion;
        this.random = random;
    }

    /**
     * Replaces the known instances, this one excluded.
     *
     * @param newPeers the other instances
     */
    public void setPeers(List<SuspectPeer> newPeers) {
        peers = List.copyOf(newPeers);
        Set<String> addresses =
                peers.stream().map(SuspectPeer::address).collect(Collectors.toSet());
        answeredNanos.keySet().retainAll(addresses);
        avoidUntilNanos.keySet().retainAll(addresses);
    }

    /**
     * Returns whom to ask now.
     *
     * @param allRegions whether instances of other regions are needed
     * @param nowNanos the current time
     * @return instances, none of them more often than useful
     */
    public List<SuspectPeer> toAsk(boolean allRegions, long nowNanos) {
        Set<RegionId> regions = new LinkedHashSet<>(List.of(ownRegion));
        if (allRegions) {
            peers.forEach(peer -> regions.add(peer.region()));
        }
        List<SuspectPeer> asked = new ArrayList<>();
        for (RegionId region : regions) {
            addToAsk(region, asked, nowNanos);
        }
        return asked;
    }

    private void addToAsk(RegionId region, List<SuspectPeer> asked, long nowNanos) {
        List<SuspectPeer> known = new ArrayList<>();
        List<SuspectPeer> unknown = new ArrayList<>();
        for (SuspectPeer peer : peers) {
            if (peer.region().equals(region)) {
                if (isWilling(peer, nowNanos)) {
                    known.add(peer);
                } else if (nowNanos >= avoidUntilNanos.getOrDefault(peer.address(), nowNanos)) {
                    unknown.add(peer);
                }
            }
        }
        known.sort(
                (a, b) -> answeredNanos.get(b.address()).compareTo(answeredNanos.get(a.address())));
        known.stream()
                .limit(WANTED_PER_REGION)
                .filter(peer -> nowNanos - answeredNanos.get(peer.address()) >= RENEW_NANOS)
                .forEach(asked::add);
        if (known.size() < WANTED_PER_REGION) {
            Collections.shuffle(unknown, Random.from(random));
            asked.addAll(unknown.subList(0, Math.min(ASKED_PER_REGION, unknown.size())));
        }
    }

    /**
     * Records the answer of an instance.
     *
     * @param address its address
     * @param willing whether it accepts calls; false also if there was no answer
     * @param nowNanos the current time
     */
    public void answered(String address, boolean willing, long nowNanos) {
        if (willing) {
            answeredNanos.put(address, nowNanos);
            avoidUntilNanos.remove(address);
        } else {
            answeredNanos.remove(address);
            avoidUntilNanos.put(address, nowNanos + AVOID_NANOS);
        }
    }

    /**
     * Chooses an instance for a call.
     *
     * @param homeRegions regions to which the call is restricted, or empty for any
     * @param tried addresses of instances that were tried before
     * @param nowNanos the current time
     * @return an instance, or null if none is known to be willing
     */
    public SuspectPeer choose(Set<RegionId> homeRegions, Set<String> tried, long nowNanos) {
        List<SuspectPeer> willing =
                peers.stream()
                        .filter(peer -> isWilling(peer, nowNanos))
                        .filter(peer -> !tried.contains(peer.address()))
                        .filter(
                                peer ->
                                        homeRegions.isEmpty()
                                                || homeRegions.contains(peer.region()))
                        .toList();
        List<SuspectPeer> near =
                willing.stream().filter(peer -> peer.region().equals(ownRegion)).toList();
        List<SuspectPeer> candidates = near.isEmpty() ? willing : near;
        if (candidates.isEmpty()) {
            return null;
        }
        for (SuspectPeer candidate : candidates) {
            if (candidate.address().equals(lastUsed.get(candidate.region()))) {
                return candidate;
            }
        }
        SuspectPeer chosen = candidates.get(random.nextInt(candidates.size()));
        lastUsed.put(chosen.region(), chosen.address());
        return chosen;
    }

    private boolean isWilling(SuspectPeer peer, long nowNanos) {
        Long answered = answeredNanos.get(peer.address());
        return answered != null && nowNanos - answered <= WILLING_NANOS;
    }
}
