package org.snipeslip.server.runtime;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.quota.QuotaAnswer;
import org.snipeslip.core.quota.QuotaAsk;

/**
 * Encodes questions about quotas and their answers. A question has a line for the asker and one for
 * each organisation; an answer says whether its instance uses its own part, and has the time of the
 * lease and a number for each of these lines.
 */
final class QuotaCodec {
    private static final int ASKER_FIELDS = 4;
    private static final int WANT_FIELDS = 3;

    private QuotaCodec() {}

    static String encode(QuotaAsk ask) {
        StringBuilder text = new StringBuilder();
        text.append(escape(ask.from()))
                .append(' ')
                .append(Long.toString(ask.incarnation(), Character.MAX_RADIX))
                .append(' ')
                .append(ask.number())
                .append(' ')
                .append(ask.kind().name().toLowerCase(Locale.ROOT))
                .append('\n');
        for (QuotaAsk.Want want : ask.wants()) {
            text.append(escape(want.organisation().value()))
                    .append(' ')
                    .append(want.kept())
                    .append(' ')
                    .append(want.wanted())
                    .append('\n');
        }
        return text.toString();
    }

    /**
     * Decodes a question.
     *
     * @throws IllegalArgumentException if it is malformed
     */
    static QuotaAsk decode(String text) {
        String[] lines = text.split("\n");
        String[] asker = fields(lines[0], ASKER_FIELDS);
        List<QuotaAsk.Want> wants = new ArrayList<>();
        for (int i = 1; i < lines.length; i++) {
            String[] fields = fields(lines[i], WANT_FIELDS);
            wants.add(
                    new QuotaAsk.Want(
                            new OrganisationId(unescape(fields[0])),
                            count(fields[1]),
                            count(fields[2])));
        }
        return new QuotaAsk(
                unescape(asker[0]),
                Long.parseLong(asker[1], Character.MAX_RADIX),
                Long.parseLong(asker[2]),
                QuotaAsk.Kind.valueOf(asker[3].toUpperCase(Locale.ROOT)),
                wants);
    }

    static String encode(QuotaAnswer answer) {
        StringBuilder text = new StringBuilder(answer.owning() ? "owning" : "new");
        if (answer.grants().isEmpty()) {
            return text.toString();
        }
        text.append(' ').append(answer.grants().getFirst().leaseMillis());
        answer.grants().forEach(grant -> text.append(' ').append(grant.calls()));
        return text.toString();
    }

    /**
     * Decodes an answer.
     *
     * @param ask the question
     * @throws IllegalArgumentException if it is malformed
     */
    static QuotaAnswer decodeAnswer(QuotaAsk ask, String text) {
        boolean owning = text.startsWith("owning");
        if (!text.contains(" ")) {
            return new QuotaAnswer(owning, List.of());
        }
        String[] fields = fields(text, ask.wants().size() + 2);
        long leaseMillis = Long.parseLong(fields[1]);
        List<QuotaAnswer.Grant> grants = new ArrayList<>();
        for (int i = 2; i < fields.length; i++) {
            grants.add(
                    new QuotaAnswer.Grant(
                            ask.wants().get(i - 2).organisation(), count(fields[i]), leaseMillis));
        }
        return new QuotaAnswer(owning, grants);
    }

    private static String[] fields(String line, int expected) {
        String[] fields = line.split(" ");
        if (fields.length != expected) {
            throw new IllegalArgumentException(
                    "expected " + expected + " fields, found " + fields.length + ": " + line);
        }
        return fields;
    }

    private static int count(String text) {
        int count = Integer.parseInt(text);
        if (count < 0) {
            throw new IllegalArgumentException("negative number of calls: " + text);
        }
        return count;
    }

    private static String escape(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private static String unescape(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }
}
