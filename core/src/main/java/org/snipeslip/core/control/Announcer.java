package org.snipeslip.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.peer.ConfigMessage;
import org.snipeslip.core.peer.MemberStatus;
import org.snipeslip.core.peer.MemberUpdate;

/** Announces an adopted generation to the members that are not known to have it in force. */
final class Announcer {
    private static final int MEMBERS_PER_REGION = 2;

    private final RegionId region;
    private final PeerGenerations peers;
    private final RandomGenerator random;

    Announcer(RegionId region, PeerGenerations peers, RandomGenerator random) {
        this.region = region;
        this.peers = peers;
        this.random = random;
    }

    /** Announces to every member of the region of this instance. */
    void announceToOwnRegion(Generation generation, Outbox outbox) {
        for (MemberUpdate member : membersBehind(generation)) {
            if (member.region().equals(region)) {
                send(member, generation, outbox);
            }
        }
    }

    /** Announces to a few random members of each other region; they announce it further there. */
    void announceToOtherRegions(Generation generation, Outbox outbox) {
        Map<RegionId, List<MemberUpdate>> byRegion = new TreeMap<>();
        for (MemberUpdate member : membersBehind(generation)) {
            if (!member.region().equals(region) && member.status() == MemberStatus.ALIVE) {
                byRegion.computeIfAbsent(member.region(), r -> new ArrayList<>()).add(member);
            }
        }
        for (List<MemberUpdate> members : byRegion.values()) {
            for (int i = 0; i < MEMBERS_PER_REGION && !members.isEmpty(); i++) {
                send(members.remove(random.nextInt(members.size())), generation, outbox);
            }
        }
    }

    private List<MemberUpdate> membersBehind(Generation generation) {
        List<MemberUpdate> behind = new ArrayList<>();
        for (MemberUpdate member : peers.view().members()) {
            if (peers.member(member.id()) != null
                    && generation.isNewerThan(peers.generationOf(member.id()))) {
                behind.add(member);
            }
        }
        return behind;
    }

    private static void send(MemberUpdate to, Generation generation, Outbox outbox) {
        outbox.add(
                new Action.SendPeerMessage(
                        to.id(), to.address(), new ConfigMessage.ConfigAnnounce(generation)));
    }
}
