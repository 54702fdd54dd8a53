package org.snipeslip.server.http;

import org.snipeslip.core.call.Handover;

/**
 * Encodes what an instance states with a call that it passes to another one: version of the
 * configuration, retries left, and 1 if the call counts for the retry budget there.
 */
final class HandoverHeader {
    private static final String SEPARATOR = " ";
    private static final int FIELDS = 3;

    private HandoverHeader() {}

    static String encode(Handover handover) {
        return String.join(
                SEPARATOR,
                Long.toString(handover.version()),
                Integer.toString(handover.retriesLeft()),
                handover.earnsRetry() ? "1" : "0");
    }

    /**
     * Decodes a value.
     *
     * @return the handover, or null if the value has another form
     */
    static Handover decode(String value) {
        String[] fields = value.split(SEPARATOR, -1);
        if (fields.length != FIELDS) {
            return null;
        }
        try {
            return new Handover(
                    Long.parseLong(fields[0]), Integer.parseInt(fields[1]), fields[2].equals("1"));
        } catch (NumberFormatException e) {
            // The caller refuses the call, with the value.
            return null;
        }
    }
}
