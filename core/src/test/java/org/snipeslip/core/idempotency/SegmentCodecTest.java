package org.snipeslip.core.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.NotBlank;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.instance.RecordableAnswer;
import org.snipeslip.core.peer.ClaimMessage;

/** Guards against a record that a later owner decodes differently from what was written. */
class SegmentCodecTest {
    @Property(tries = 200, seed = "41")
    void decodesWhatWasEncoded(
            @ForAll @NotBlank String instance,
            @ForAll String fingerprint,
            @ForAll String contentType,
            @ForAll long claim,
            @ForAll ClaimMessage.ClaimState state) {
        ClaimRecord record =
                new ClaimRecord(
                        "digest",
                        withoutSurrogates(fingerprint),
                        new ClaimId(new InstanceId("i" + withoutSurrogates(instance)), 3, claim),
                        state,
                        new RecordableAnswer(200, withoutSurrogates(contentType), "aGk=", true));
        Segment segment =
                new Segment(
                        Segment.Kind.APPEND,
                        new Segment.WriteId(new InstanceId("a\tb\nc"), 7, claim),
                        12,
                        List.of(record, record));
        assertThat(SegmentCodec.decode(SegmentCodec.encode(segment)).get()).isEqualTo(segment);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "1\tAPPEND\ti\t1\t1\t1\t1", "1\tOTHER\ti\t1\t1\t1\t0", "2\tx"})
    void rejectsInvalidSegments(String text) {
        assertThat(SegmentCodec.decode(text).isLeft()).isTrue();
    }

    /** Unpaired surrogates cannot be encoded in UTF-8 and never reach the engine. */
    private static String withoutSurrogates(String text) {
        return text.replaceAll("[\\ud800-\\udfff]", "");
    }
}
