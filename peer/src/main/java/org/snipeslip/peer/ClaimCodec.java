package org.snipeslip.peer;

import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.instance.RecordableAnswer;
import org.snipeslip.core.peer.ClaimMessage;
import org.snipeslip.peer.proto.Answer;
import org.snipeslip.peer.proto.ClaimAsk;
import org.snipeslip.peer.proto.ClaimEnd;
import org.snipeslip.peer.proto.ClaimOutcome;
import org.snipeslip.peer.proto.ClaimRecord;
import org.snipeslip.peer.proto.ClaimReply;
import org.snipeslip.peer.proto.Frame;
import org.snipeslip.peer.proto.OwnershipHandover;
import org.snipeslip.peer.proto.Verdict;

/** Converts the messages of at-most-once claims to and from frame bodies. */
final class ClaimCodec {
    private static final String VERDICT_PREFIX = "VERDICT_";
    private static final String END_PREFIX = "CLAIM_END_";

    private ClaimCodec() {}

    static void encode(ClaimMessage message, Frame.Builder frame) {
        switch (message) {
            case ClaimMessage.ClaimAsk m ->
                    frame.setClaimAsk(
                            ClaimAsk.newBuilder()
                                    .setClaim(m.claim())
                                    .setIncarnation(m.incarnation())
                                    .setGroup(m.group())
                                    .setPartition(m.partition())
                                    .setKeyDigest(m.keyDigest())
                                    .setFingerprint(m.fingerprint()));
            case ClaimMessage.ClaimReply m ->
                    frame.setClaimReply(
                            ClaimReply.newBuilder()
                                    .setClaim(m.claim())
                                    .setIncarnation(m.incarnation())
                                    .setVerdict(
                                            Verdict.valueOf(VERDICT_PREFIX + m.verdict().name()))
                                    .setAnswer(answer(m.answer())));
            case ClaimMessage.ClaimOutcome m ->
                    frame.setClaimOutcome(
                            ClaimOutcome.newBuilder()
                                    .setClaim(m.claim())
                                    .setIncarnation(m.incarnation())
                                    .setGroup(m.group())
                                    .setPartition(m.partition())
                                    .setKeyDigest(m.keyDigest())
                                    .setEnd(end(m.state()))
                                    .setAnswer(answer(m.answer())));
            case ClaimMessage.OwnershipHandover m -> frame.setOwnershipHandover(handover(m));
        }
    }

    static ClaimMessage decode(Frame frame) {
        return switch (frame.getBodyCase()) {
            case CLAIM_ASK -> ask(frame.getClaimAsk());
            case CLAIM_REPLY -> reply(frame.getClaimReply());
            case CLAIM_OUTCOME -> outcome(frame.getClaimOutcome());
            default -> handover(frame.getOwnershipHandover());
        };
    }

    private static ClaimMessage ask(ClaimAsk m) {
        return new ClaimMessage.ClaimAsk(
                m.getClaim(),
                m.getIncarnation(),
                m.getGroup(),
                m.getPartition(),
                m.getKeyDigest(),
                m.getFingerprint());
    }

    private static ClaimMessage reply(ClaimReply m) {
        return new ClaimMessage.ClaimReply(
                m.getClaim(),
                m.getIncarnation(),
                ClaimMessage.Verdict.valueOf(
                        m.getVerdict().name().substring(VERDICT_PREFIX.length())),
                answer(m.getAnswer()));
    }

    private static ClaimMessage outcome(ClaimOutcome m) {
        return new ClaimMessage.ClaimOutcome(
                m.getClaim(),
                m.getIncarnation(),
                m.getGroup(),
                m.getPartition(),
                m.getKeyDigest(),
                end(m.getEnd()),
                answer(m.getAnswer()));
    }

    private static OwnershipHandover handover(ClaimMessage.OwnershipHandover message) {
        OwnershipHandover.Builder builder =
                OwnershipHandover.newBuilder()
                        .setGroup(message.group())
                        .setPartition(message.partition())
                        .setEpoch(message.epoch())
                        .setPart(message.part())
                        .setParts(message.parts());
        for (ClaimMessage.ClaimRecordValue value : message.records()) {
            builder.addRecords(
                    ClaimRecord.newBuilder()
                            .setKeyDigest(value.keyDigest())
                            .setFingerprint(value.fingerprint())
                            .setGrantee(value.grantee().value())
                            .setIncarnation(value.incarnation())
                            .setClaim(value.claim())
                            .setState(end(value.state()))
                            .setAgeMillis(value.ageMillis())
                            .setAnswer(answer(value.answer())));
        }
        return builder.build();
    }

    private static ClaimMessage handover(OwnershipHandover m) {
        return new ClaimMessage.OwnershipHandover(
                m.getGroup(),
                m.getPartition(),
                m.getEpoch(),
                m.getPart(),
                m.getParts(),
                m.getRecordsList().stream().map(ClaimCodec::value).toList());
    }

    private static ClaimMessage.ClaimRecordValue value(ClaimRecord m) {
        return new ClaimMessage.ClaimRecordValue(
                m.getKeyDigest(),
                m.getFingerprint(),
                new InstanceId(m.getGrantee()),
                m.getIncarnation(),
                m.getClaim(),
                end(m.getState()),
                m.getAgeMillis(),
                answer(m.getAnswer()));
    }

    private static ClaimEnd end(ClaimMessage.ClaimState state) {
        return ClaimEnd.valueOf(END_PREFIX + state.name());
    }

    private static ClaimMessage.ClaimState end(ClaimEnd end) {
        return ClaimMessage.ClaimState.valueOf(end.name().substring(END_PREFIX.length()));
    }

    private static Answer answer(RecordableAnswer answer) {
        return Answer.newBuilder()
                .setStatus(answer.status())
                .setContentType(answer.contentType())
                .setBody(answer.body())
                .setBodyKept(answer.bodyKept())
                .build();
    }

    private static RecordableAnswer answer(Answer m) {
        return new RecordableAnswer(
                m.getStatus(), m.getContentType(), m.getBody(), m.getBodyKept());
    }
}
