package org.snipeslip.server.http;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.snipeslip.core.call.Handover;
import org.snipeslip.core.id.OrganisationId;

/**
 * Encodes what an instance states with a call that it passes to another one: version of the
 * configuration, retries left, 1 if the call counts for the retry budget there, and the name of the
 * caller's organisation if it has one. An instance of an older build refuses the fourth field.
 */
final class HandoverHeader {
    private static final String SEPARATOR = " ";
    private static final int MIN_FIELDS = 3;
    private static final int MAX_FIELDS = 4;

    /** No name is as long; the configuration of the other instance decides which ones there are. */
    private static final int MAX_ENCODED_NAME = 1_024;

    private HandoverHeader() {}

    static String encode(Handover handover) {
        String text =
                String.join(
                        SEPARATOR,
                        Long.toString(handover.version()),
                        Integer.toString(handover.retriesLeft()),
                        handover.earnsRetry() ? "1" : "0");
        return handover.organisation() == null
                ? text
                : text
                        + SEPARATOR
                        + URLEncoder.encode(
                                handover.organisation().value(), StandardCharsets.UTF_8);
    }

    /**
     * Decodes a value.
     *
     * @return the handover, or null if the value has another form
     */
    static Handover decode(String value) {
        String[] fields = value.split(SEPARATOR, -1);
        if (fields.length < MIN_FIELDS
                || fields.length > MAX_FIELDS
                || fields[fields.length - 1].length() > MAX_ENCODED_NAME) {
            return null;
        }
        try {
            return new Handover(
                    Long.parseLong(fields[0]),
                    Integer.parseInt(fields[1]),
                    fields[2].equals("1"),
                    fields.length == MAX_FIELDS
                            ? new OrganisationId(
                                    URLDecoder.decode(fields[3], StandardCharsets.UTF_8))
                            : null);
        } catch (IllegalArgumentException e) {
            // Whoever called this refuses the call.
            return null;
        }
    }
}
