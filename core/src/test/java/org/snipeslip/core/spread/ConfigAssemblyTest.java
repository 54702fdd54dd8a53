package org.snipeslip.core.spread;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.config.ConfigPart;
import org.snipeslip.core.id.Generation;

/** Guards against a configuration that is older, damaged or not whole. */
class ConfigAssemblyTest {
    private final TextCodec codec = new TextCodec();
    private final ConfigAssembly assembly = new ConfigAssembly(codec);

    /** Guards against a step back, whatever arrives late, twice or out of order. */
    @Test
    void adoptsOnlyNewerGenerations() {
        assertThat(adopt(5, "a", "b")).isTrue();
        assertThat(adopt(4, "a")).isFalse();
        assertThat(adopt(5, "c")).isFalse();
        assertThat(assembly.inForce().generation()).isEqualTo(new Generation(5));
        assertThat(adopt(6, "c")).isTrue();
    }

    /** Guards against a damaged part in force. */
    @Test
    void refusesAPartWhoseDigestDiffers() {
        assembly.want(head(1, "a"));
        assertThat(assembly.put(new ConfigPart(codec.digest("a"), "damaged"))).isFalse();
        assertThat(assembly.adopt()).isFalse();
        assertThat(assembly.refusedParts()).isEqualTo(1);
    }

    /** Guards against a set that cannot be decoded, and against trying it again and again. */
    @Test
    void refusesAnUndecodableHeadOnce() {
        assertThat(adopt(1, "a")).isTrue();
        assertThat(adopt(2, TextCodec.UNDECODABLE)).isFalse();
        assertThat(assembly.want(head(2, TextCodec.UNDECODABLE))).isFalse();
        assertThat(assembly.inForce().generation()).isEqualTo(new Generation(1));
        assertThat(adopt(3, "a")).isTrue();
    }

    /** Guards against lost parts that peers ask for, and against parts kept for ever. */
    @Test
    void holdsThePartsInForceAndWantedOnly() {
        adopt(1, "a", "b");
        adopt(2, "b", "c");
        assertThat(served("a")).isEmpty();
        assertThat(served("b", "c")).hasSize(2);
        assembly.want(head(3, "d", "e"));
        assembly.put(part("d"));
        assembly.want(head(4, "b", "f"));
        assertThat(assembly.partsHeld()).isEqualTo(2);
    }

    /** Guards against an answer beyond the bound of a message. */
    @Test
    void servesOnlyWhatFits() {
        adopt(1, "aaaa", "bbbb", "cccc");
        List<String> digests = Stream.of("aaaa", "bbbb", "cccc").map(codec::digest).toList();
        assertThat(assembly.partsFor(digests, 12, 2)).hasSize(2);
        assertThat(assembly.partsFor(digests, 5, 2)).isEmpty();
    }

    private boolean adopt(long generation, String... texts) {
        assembly.want(head(generation, texts));
        for (String text : texts) {
            assembly.put(part(text));
        }
        return assembly.adopt();
    }

    private List<ConfigPart> served(String... texts) {
        return assembly.partsFor(Stream.of(texts).map(codec::digest).toList(), 1_000, 0);
    }

    private ConfigHead head(long generation, String... texts) {
        return new ConfigHead(
                new Generation(generation), "w", Stream.of(texts).map(codec::digest).toList());
    }

    private ConfigPart part(String text) {
        return new ConfigPart(codec.digest(text), text);
    }
}
