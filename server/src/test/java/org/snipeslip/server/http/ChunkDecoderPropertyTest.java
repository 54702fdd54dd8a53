package org.snipeslip.server.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Guards against a decoder that finds another end of a chunked body than its sender, in whatever
 * parts the bytes arrive. The oracle is the sender, or a grammar written as regular expressions.
 */
class ChunkDecoderPropertyTest {
    private static final Pattern CHUNK_LINE =
            Pattern.compile("([0-9a-fA-F]{1,15})(;[\\t\\x20-\\xff]*)?\r\n");
    private static final Pattern TRAILER_LINE =
            Pattern.compile("[\\x21-\\xff][\\t\\x20-\\xff]*\r\n");

    /** A whole body decodes to what was sent, and leaves the bytes after it unread. */
    @Property
    void wholeBodyDecodesToWhatWasSent(
            @ForAll @Size(max = 8) List<@IntRange(min = 1, max = 40) Integer> sizes,
            @ForAll long seed) {
        Random random = new Random(seed);
        Sent sent = send(sizes, random);
        String extra = random.nextBoolean() ? "" : "HTTP/1.1 500 x\r\n\r\n";
        Result decoded = decode(sent.encoded + extra, random);
        assertThat(decoded).isEqualTo(new Result(sent.data, true, false, extra.length()));
        assertThat(skip(sent.encoded + extra, random))
                .isEqualTo(new Result("", true, false, extra.length()));
    }

    /** A body that is cut anywhere has not ended. */
    @Property
    void cutBodyHasNotEnded(
            @ForAll @Size(max = 8) List<@IntRange(min = 1, max = 40) Integer> sizes,
            @ForAll long seed) {
        Random random = new Random(seed);
        String encoded = send(sizes, random).encoded;
        String cut = encoded.substring(0, random.nextInt(encoded.length()));
        assertThat(decode(cut, random).ended).isFalse();
        assertThat(skip(cut, random).ended).isFalse();
    }

    /** A body with a spoiled byte ends only where the grammar says so. */
    @Property(tries = 5_000)
    void spoiledBodyEndsWhereTheGrammarSays(
            @ForAll @Size(max = 8) List<@IntRange(min = 1, max = 40) Integer> sizes,
            @ForAll long seed) {
        Random random = new Random(seed);
        StringBuilder encoded = new StringBuilder(send(sizes, random).encoded);
        int at = random.nextInt(encoded.length());
        String odd = "\r\n\t ;0aG+-\u0000\u0080\u00ff";
        char other = odd.charAt(random.nextInt(odd.length()));
        switch (random.nextInt(3)) {
            case 0 -> encoded.setCharAt(at, other);
            case 1 -> encoded.insert(at, other);
            default -> encoded.deleteCharAt(at);
        }
        String expected = parse(encoded.toString());
        Result decoded = decode(encoded.toString(), random);
        Result skipped = skip(encoded.toString(), random);
        assertThat(decoded.ended).isEqualTo(expected != null);
        assertThat(skipped.ended).isEqualTo(expected != null);
        if (expected != null) {
            assertThat(decoded.data).isEqualTo(expected);
        }
    }

    private static Sent send(List<Integer> sizes, Random random) {
        StringBuilder data = new StringBuilder();
        StringBuilder encoded = new StringBuilder();
        for (int size : sizes) {
            StringBuilder chunk = new StringBuilder();
            for (int i = 0; i < size; i++) {
                chunk.append((char) random.nextInt(256));
            }
            data.append(chunk);
            encoded.append(random.nextBoolean() ? "" : "00").append(Integer.toHexString(size));
            encoded.append(random.nextInt(3) == 0 ? ";n=\"v\"" : "");
            encoded.append("\r\n").append(chunk).append("\r\n");
        }
        encoded.append("0\r\n").append(random.nextInt(3) == 0 ? "X-Trailer: 1\r\n" : "");
        return new Sent(data.toString(), encoded.append("\r\n").toString());
    }

    /** Returns the data of a body according to RFC 9112 section 7.1, or null if it is not whole. */
    private static String parse(String encoded) {
        StringBuilder data = new StringBuilder();
        Matcher line = CHUNK_LINE.matcher(encoded);
        int at = 0;
        while (line.region(at, encoded.length()).lookingAt()) {
            long size = Long.parseLong(line.group(1), 16);
            at = line.end();
            if (size == 0) {
                Matcher trailer = TRAILER_LINE.matcher(encoded);
                while (trailer.region(at, encoded.length()).lookingAt()) {
                    at = trailer.end();
                }
                return encoded.startsWith("\r\n", at) ? data.toString() : null;
            }
            if (size > encoded.length() - at || !encoded.startsWith("\r\n", at + (int) size)) {
                return null;
            }
            data.append(encoded, at, at + (int) size);
            at += (int) size + 2;
        }
        return null;
    }

    private static Result decode(String encoded, Random random) {
        ChunkDecoder decoder = new ChunkDecoder(Long.MAX_VALUE);
        ByteArrayOutputStream data = new ByteArrayOutputStream();
        ByteBuffer decoded = ByteBuffer.allocate(1 + random.nextInt(50));
        return feed(
                decoder,
                encoded,
                random,
                data,
                bytes -> {
                    do {
                        decoded.clear();
                        decoder.decode(bytes, decoded);
                        data.write(decoded.array(), 0, decoded.position());
                    } while (decoded.position() > 0);
                });
    }

    private static Result skip(String encoded, Random random) {
        ChunkDecoder decoder = new ChunkDecoder(Long.MAX_VALUE);
        return feed(decoder, encoded, random, new ByteArrayOutputStream(), decoder::skip);
    }

    private static Result feed(
            ChunkDecoder decoder,
            String encoded,
            Random random,
            ByteArrayOutputStream data,
            Step step) {
        byte[] bytes = encoded.getBytes(StandardCharsets.ISO_8859_1);
        int at = 0;
        boolean failed = false;
        try {
            while (at < bytes.length && !decoder.isEnded()) {
                int count = Math.min(bytes.length - at, 1 + random.nextInt(30));
                ByteBuffer part = ByteBuffer.wrap(bytes, at, count);
                step.take(part);
                at = part.position();
            }
        } catch (IOException e) {
            failed = true;
        }
        String text = data.toString(StandardCharsets.ISO_8859_1);
        return new Result(text, decoder.isEnded(), failed, bytes.length - at);
    }

    /** Passes a part of the encoded bytes to a decoder. */
    private interface Step {
        void take(ByteBuffer part) throws IOException;
    }

    /** The data of a body, and its chunks. */
    private record Sent(String data, String encoded) {}

    /** What a decoder made of some bytes; {@code unread} counts from its last complete part. */
    private record Result(String data, boolean ended, boolean failed, int unread) {}
}
