package org.snipeslip.peer;

import com.google.protobuf.ByteString;
import io.vavr.control.Option;
import java.util.HexFormat;
import java.util.List;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.config.ConfigPart;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.peer.ConfigMessage;
import org.snipeslip.peer.proto.ConfigAnnounce;
import org.snipeslip.peer.proto.ConfigFetch;
import org.snipeslip.peer.proto.ConfigParts;
import org.snipeslip.peer.proto.Frame;
import org.snipeslip.peer.proto.Head;
import org.snipeslip.peer.proto.Part;

/**
 * Converts the messages that distribute the configuration to and from frame bodies. Digests are
 * hexadecimal strings in messages and bytes in frames.
 */
final class ConfigMessageCodec {
    private static final int DIGEST_BYTES = 32;

    private ConfigMessageCodec() {}

    static void encode(ConfigMessage message, Frame.Builder frame) {
        switch (message) {
            case ConfigMessage.ConfigAnnounce m ->
                    frame.setConfigAnnounce(
                            ConfigAnnounce.newBuilder().setGeneration(m.generation().number()));
            case ConfigMessage.ConfigFetch m ->
                    frame.setConfigFetch(
                            ConfigFetch.newBuilder()
                                    .setHave(m.have().number())
                                    .addAllDigests(bytes(m.digests())));
            case ConfigMessage.ConfigParts m -> frame.setConfigParts(parts(m));
        }
    }

    static ConfigMessage decode(Frame frame) {
        return switch (frame.getBodyCase()) {
            case CONFIG_ANNOUNCE ->
                    new ConfigMessage.ConfigAnnounce(
                            generation(frame.getConfigAnnounce().getGeneration()));
            case CONFIG_FETCH ->
                    new ConfigMessage.ConfigFetch(
                            generation(frame.getConfigFetch().getHave()),
                            texts(frame.getConfigFetch().getDigestsList()));
            default -> parts(frame.getConfigParts());
        };
    }

    private static ConfigParts parts(ConfigMessage.ConfigParts message) {
        ConfigParts.Builder builder = ConfigParts.newBuilder();
        if (message.head().isDefined()) {
            ConfigHead head = message.head().get();
            builder.setHead(
                    Head.newBuilder()
                            .setGeneration(head.generation().number())
                            .setWriter(head.writer())
                            .addAllDigests(bytes(head.digests())));
        }
        for (ConfigPart part : message.parts()) {
            builder.addParts(
                    Part.newBuilder().setDigest(bytes(part.digest())).setText(part.text()));
        }
        return builder.build();
    }

    private static ConfigMessage.ConfigParts parts(ConfigParts message) {
        Option<ConfigHead> head = Option.none();
        if (message.hasHead()) {
            Head encodedHead = message.getHead();
            head =
                    Option.some(
                            new ConfigHead(
                                    generation(encodedHead.getGeneration()),
                                    encodedHead.getWriter(),
                                    texts(encodedHead.getDigestsList())));
        }
        return new ConfigMessage.ConfigParts(
                head,
                message.getPartsList().stream()
                        .map(part -> new ConfigPart(text(part.getDigest()), part.getText()))
                        .toList());
    }

    private static Generation generation(long number) {
        PeerCodec.require(number >= 0);
        return new Generation(number);
    }

    private static List<ByteString> bytes(List<String> digests) {
        return digests.stream().map(ConfigMessageCodec::bytes).toList();
    }

    private static ByteString bytes(String digest) {
        byte[] bytes = HexFormat.of().parseHex(digest);
        PeerCodec.require(bytes.length == DIGEST_BYTES);
        return ByteString.copyFrom(bytes);
    }

    private static List<String> texts(List<ByteString> digests) {
        return digests.stream().map(ConfigMessageCodec::text).toList();
    }

    private static String text(ByteString digest) {
        PeerCodec.require(digest.size() == DIGEST_BYTES);
        return HexFormat.of().formatHex(digest.toByteArray());
    }
}
