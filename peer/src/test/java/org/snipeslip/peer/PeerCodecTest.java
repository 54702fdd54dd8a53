package org.snipeslip.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vavr.control.Option;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.config.ConfigPart;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.instance.RecordableAnswer;
import org.snipeslip.core.peer.ClaimMessage;
import org.snipeslip.core.peer.ConfigMessage;
import org.snipeslip.core.peer.MemberStatus;
import org.snipeslip.core.peer.MemberUpdate;
import org.snipeslip.core.peer.MembershipMessage;
import org.snipeslip.core.peer.PeerAddress;
import org.snipeslip.core.peer.PeerMessage;

/** Guards against fields that are lost in encoding, and against frames that crash a receiver. */
class PeerCodecTest {
    private static final String DIGEST = "0123456789abcdef".repeat(4);
    private static final RecordableAnswer ANSWER =
            new RecordableAnswer(201, "text/plain", "Ym9keQ==", true);

    static Stream<PeerMessage> messages() {
        MembershipMessage.Gossip gossip =
                new MembershipMessage.Gossip(
                        new Generation(7),
                        Stream.of(MemberStatus.values()).map(s -> member(s)).toList());
        return Stream.of(
                new MembershipMessage.Ping(1, gossip),
                new MembershipMessage.Ack(2, gossip),
                new MembershipMessage.PingRequest(3, new InstanceId("t"), gossip),
                new ConfigMessage.ConfigAnnounce(new Generation(4)),
                new ConfigMessage.ConfigFetch(new Generation(5), List.of(DIGEST)),
                new ConfigMessage.ConfigParts(
                        Option.some(new ConfigHead(new Generation(6), "w", List.of(DIGEST))),
                        List.of(new ConfigPart(DIGEST, "{\"é\":1}"))),
                new ConfigMessage.ConfigParts(Option.none(), List.of()),
                new ClaimMessage.ClaimAsk(1, 2, "g", 3, "k", "f"),
                new ClaimMessage.ClaimReply(1, 2, ClaimMessage.Verdict.RECORDED, ANSWER),
                new ClaimMessage.ClaimOutcome(
                        1, 2, "g", 3, "k", ClaimMessage.ClaimState.ANSWERED, ANSWER),
                new ClaimMessage.OwnershipHandover(
                        "g",
                        3,
                        4,
                        1,
                        2,
                        List.of(
                                new ClaimMessage.ClaimRecordValue(
                                        "k",
                                        "f",
                                        new InstanceId("entry-1"),
                                        6,
                                        7,
                                        ClaimMessage.ClaimState.UNKNOWN,
                                        5,
                                        RecordableAnswer.NONE))));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void decodesEncodedMessages(PeerMessage message) throws MalformedFrameException {
        byte[] bytes = PeerCodec.encode(message);
        assertThat(PeerCodec.decode(PeerCodec.parse(bytes))).isEqualTo(message);
    }

    /** Guards against any exception other than MalformedFrameException for a damaged frame. */
    @Property(tries = 2_000, seed = "20261208")
    void reportsDamagedFramesAsMalformed(@ForAll long seed) {
        Random random = new Random(seed);
        List<PeerMessage> all = messages().toList();
        byte[] bytes = PeerCodec.encode(all.get(random.nextInt(all.size())));
        for (int i = 1 + random.nextInt(4); i > 0; i--) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
        }
        try {
            assertThat(PeerCodec.decode(PeerCodec.parse(bytes))).isNotNull();
        } catch (MalformedFrameException e) {
            assertThat(e.fault()).isNotNull();
        }
    }

    /** Guards against sending a digest that is not a SHA-256 in hexadecimal. */
    @ParameterizedTest
    @MethodSource("invalidDigests")
    void rejectsDigestsThatAreNotSha256(String digest) {
        PeerMessage message = new ConfigMessage.ConfigFetch(Generation.NONE, List.of(digest));
        assertThatThrownBy(() -> PeerCodec.encode(message))
                .isInstanceOf(IllegalArgumentException.class);
    }

    static Stream<String> invalidDigests() {
        return Stream.of("", "zz", "00");
    }

    private static MemberUpdate member(MemberStatus status) {
        return new MemberUpdate(
                new InstanceId("i"),
                new PeerAddress("127.0.0.1", 18_400),
                new FailureDomainId("f"),
                new RegionId("r"),
                9,
                status);
    }
}
