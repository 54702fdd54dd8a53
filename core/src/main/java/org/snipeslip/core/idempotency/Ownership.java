package org.snipeslip.core.idempotency;

import io.vavr.control.Option;
import org.snipeslip.core.id.InstanceId;

/**
 * Value of the ownership object of a partition whose records are kept in memory only.
 *
 * @param owner the owner
 * @param incarnation incarnation of the owner's process
 * @param epoch incremented with each takeover
 */
record Ownership(InstanceId owner, long incarnation, long epoch) {
    private static final String SEPARATOR = "\t";
    private static final int FIELD_COUNT = 3;

    String encode() {
        return FieldEscaper.escape(owner.value()) + SEPARATOR + incarnation + SEPARATOR + epoch;
    }

    static Option<Ownership> decode(String text) {
        String[] fields = text.split(SEPARATOR, -1);
        if (fields.length != FIELD_COUNT) {
            return Option.none();
        }
        try {
            return Option.some(
                    new Ownership(
                            new InstanceId(FieldEscaper.unescape(fields[0])),
                            Long.parseLong(fields[1]),
                            Long.parseLong(fields[2])));
        } catch (IllegalArgumentException e) {
            return Option.none();
        }
    }
}
