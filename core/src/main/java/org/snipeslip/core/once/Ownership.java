package org.snipeslip.core.once;

import io.vavr.control.Option;
import org.snipeslip.core.id.InstanceId;

/** Value of the ownership object of a partition whose records stay in memory. */
record Ownership(InstanceId owner, long incarnation, long epoch) {
    private static final String SEPARATOR = "\t";
    private static final int FIELDS = 3;

    String encode() {
        return Fields.escape(owner.value()) + SEPARATOR + incarnation + SEPARATOR + epoch;
    }

    static Option<Ownership> decode(String text) {
        String[] fields = text.split(SEPARATOR, -1);
        if (fields.length != FIELDS) {
            return Option.none();
        }
        try {
            return Option.some(
                    new Ownership(
                            new InstanceId(Fields.unescape(fields[0])),
                            Long.parseLong(fields[1]),
                            Long.parseLong(fields[2])));
        } catch (IllegalArgumentException e) {
            return Option.none();
        }
    }
}
