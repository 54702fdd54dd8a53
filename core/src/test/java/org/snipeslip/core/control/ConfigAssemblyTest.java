package org.snipeslip.core.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.config.ConfigPart;
import org.snipeslip.core.id.Generation;

/** Guards against adoption of a configuration that is outdated, damaged or incomplete. */
class ConfigAssemblyTest {
    private final TextCodec codec = new TextCodec();
    private final ConfigAssembly assembly = new ConfigAssembly(codec);

    /** Guards against a return to an older generation if heads arrive late, twice or reordered. */
    @Test
    void adoptsOnlyNewerGenerations() {
        assertThat(collectAndAdopt(5, "a", "b")).isTrue();
        assertThat(collectAndAdopt(4, "a")).isFalse();
        assertThat(collectAndAdopt(5, "c")).isFalse();
        assertThat(assembly.inForce().generation()).isEqualTo(new Generation(5));
        assertThat(collectAndAdopt(6, "c")).isTrue();
    }

    /** Guards against adoption of a configuration with a damaged part. */
    @Test
    void rejectsPartWithWrongDigest() {
        assembly.startCollecting(head(1, "a"));
        assertThat(assembly.addPart(new ConfigPart(codec.digest("a"), "damaged"))).isFalse();
        assertThat(assembly.adoptIfComplete()).isFalse();
        assertThat(assembly.rejectedParts()).isEqualTo(1);
    }

    /** Guards against adoption of a configuration that cannot be decoded, and repeated attempts. */
    @Test
    void rejectsUndecodableConfigurationOnce() {
        assertThat(collectAndAdopt(1, "a")).isTrue();
        assertThat(collectAndAdopt(2, TextCodec.UNDECODABLE)).isFalse();
        assertThat(assembly.startCollecting(head(2, TextCodec.UNDECODABLE))).isFalse();
        assertThat(assembly.inForce().generation()).isEqualTo(new Generation(1));
        assertThat(collectAndAdopt(3, "a")).isTrue();
    }

    /**
     * Guards against loss of parts that peers request, and against parts that are never removed.
     */
    @Test
    void keepsOnlyPartsOfCurrentAndPendingHead() {
        collectAndAdopt(1, "a", "b");
        collectAndAdopt(2, "b", "c");
        assertThat(selectParts("a")).isEmpty();
        assertThat(selectParts("b", "c")).hasSize(2);
        assembly.startCollecting(head(3, "d", "e"));
        assembly.addPart(part("d"));
        assembly.startCollecting(head(4, "b", "f"));
        assertThat(assembly.partCount()).isEqualTo(2);
    }

    /** Guards against an answer that exceeds the size limit of a message. */
    @Test
    void selectsOnlyPartsThatFitTheMessage() {
        collectAndAdopt(1, "aaaa", "bbbb", "cccc");
        List<String> digests = Stream.of("aaaa", "bbbb", "cccc").map(codec::digest).toList();
        assertThat(assembly.selectParts(digests, 12, 2)).hasSize(2);
        assertThat(assembly.selectParts(digests, 5, 2)).isEmpty();
    }

    private boolean collectAndAdopt(long generation, String... texts) {
        assembly.startCollecting(head(generation, texts));
        for (String text : texts) {
            assembly.addPart(part(text));
        }
        return assembly.adoptIfComplete();
    }

    private List<ConfigPart> selectParts(String... texts) {
        return assembly.selectParts(Stream.of(texts).map(codec::digest).toList(), 1_000, 0);
    }

    private ConfigHead head(long generation, String... texts) {
        return new ConfigHead(
                new Generation(generation), "w", Stream.of(texts).map(codec::digest).toList());
    }

    private ConfigPart part(String text) {
        return new ConfigPart(codec.digest(text), text);
    }
}
