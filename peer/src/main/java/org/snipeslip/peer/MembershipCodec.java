package org.snipeslip.peer;

import java.util.ArrayList;
import java.util.List;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.peer.MemberStatus;
import org.snipeslip.core.peer.MemberUpdate;
import org.snipeslip.core.peer.MembershipMessage;
import org.snipeslip.core.peer.PeerAddress;
import org.snipeslip.peer.proto.Ack;
import org.snipeslip.peer.proto.Frame;
import org.snipeslip.peer.proto.Gossip;
import org.snipeslip.peer.proto.Member;
import org.snipeslip.peer.proto.Ping;
import org.snipeslip.peer.proto.PingRequest;
import org.snipeslip.peer.proto.Status;

/** Converts the messages of failure detection to and from frame bodies. */
final class MembershipCodec {
    private static final int MAX_UPDATES = 16;
    private static final int MAX_PORT = 65_535;
    private static final String STATUS_PREFIX = "STATUS_";

    private MembershipCodec() {}

    static void encode(MembershipMessage message, Frame.Builder frame) {
        Gossip gossip = gossip(message.gossip());
        switch (message) {
            case MembershipMessage.Ping m ->
                    frame.setPing(Ping.newBuilder().setSequence(m.sequence()).setGossip(gossip));
            case MembershipMessage.Ack m ->
                    frame.setAck(Ack.newBuilder().setSequence(m.sequence()).setGossip(gossip));
            case MembershipMessage.PingRequest m ->
                    frame.setPingRequest(
                            PingRequest.newBuilder()
                                    .setSequence(m.sequence())
                                    .setTarget(m.target().value())
                                    .setGossip(gossip));
        }
    }

    static MembershipMessage decode(Frame frame) {
        return switch (frame.getBodyCase()) {
            case PING ->
                    new MembershipMessage.Ping(
                            frame.getPing().getSequence(), gossip(frame.getPing().getGossip()));
            case ACK ->
                    new MembershipMessage.Ack(
                            frame.getAck().getSequence(), gossip(frame.getAck().getGossip()));
            default ->
                    new MembershipMessage.PingRequest(
                            frame.getPingRequest().getSequence(),
                            new InstanceId(frame.getPingRequest().getTarget()),
                            gossip(frame.getPingRequest().getGossip()));
        };
    }

    private static Gossip gossip(MembershipMessage.Gossip gossip) {
        Gossip.Builder builder = Gossip.newBuilder().setGeneration(gossip.generation().number());
        for (MemberUpdate update : gossip.updates()) {
            builder.addUpdates(
                    Member.newBuilder()
                            .setId(update.id().value())
                            .setHost(update.address().host())
                            .setPort(update.address().port())
                            .setFailureDomain(update.failureDomain().value())
                            .setRegion(update.region().value())
                            .setIncarnation(update.incarnation())
                            .setStatus(Status.valueOf(STATUS_PREFIX + update.status().name())));
        }
        return builder.build();
    }

    private static MembershipMessage.Gossip gossip(Gossip gossip) {
        PeerCodec.require(gossip.getUpdatesCount() <= MAX_UPDATES && gossip.getGeneration() >= 0);
        List<MemberUpdate> updates = new ArrayList<>(gossip.getUpdatesCount());
        for (Member member : gossip.getUpdatesList()) {
            PeerCodec.require(!member.getHost().isBlank());
            PeerCodec.require(member.getPort() > 0 && member.getPort() <= MAX_PORT);
            updates.add(
                    new MemberUpdate(
                            new InstanceId(member.getId()),
                            new PeerAddress(member.getHost(), member.getPort()),
                            new FailureDomainId(member.getFailureDomain()),
                            new RegionId(member.getRegion()),
                            member.getIncarnation(),
                            MemberStatus.valueOf(
                                    member.getStatus().name().substring(STATUS_PREFIX.length()))));
        }
        return new MembershipMessage.Gossip(new Generation(gossip.getGeneration()), updates);
    }
}
