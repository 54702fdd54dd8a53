package org.snipeslip.core.config;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.snipeslip.core.error.ConfigFault.Rule;

/**
 * Checks the number and size of objects against the memory that instances reserve for them and the
 * limits of the object API.
 */
final class SizeCheck {
    private static final int MAX_OBJECTS_PER_KIND = 4_096;
    private static final long MAX_SET_BYTES = 16L << 20;

    /** Maximum size of a value in the object API. */
    private static final long MAX_VALUE_BYTES = 1L << 20;

    /** A head contains 67 bytes per part and must fit into one value of the object API. */
    private static final int MAX_OBJECTS = 15_000;

    private SizeCheck() {}

    static void run(List<SourcedObject> objects, FaultList faults) {
        Map<ObjectKind, Integer> counts = new EnumMap<>(ObjectKind.class);
        long setBytes = 0;
        for (SourcedObject sourced : objects) {
            counts.merge(sourced.object().kind(), 1, Integer::sum);
            setBytes += sourced.sizeBytes();
            if (sourced.sizeBytes() > MAX_VALUE_BYTES) {
                String detail = tooLarge(sourced.sizeBytes(), MAX_VALUE_BYTES, "bytes");
                faults.add(sourced, "", Rule.TOO_LARGE, detail);
            }
        }
        counts.forEach(
                (kind, count) -> checkCount(faults, kind.text(), count, MAX_OBJECTS_PER_KIND));
        checkCount(faults, "", objects.size(), MAX_OBJECTS);
        if (setBytes > MAX_SET_BYTES) {
            faults.add("", "", "", Rule.TOO_LARGE, tooLarge(setBytes, MAX_SET_BYTES, "bytes"));
        }
    }

    private static void checkCount(FaultList faults, String kind, int count, int max) {
        if (count > max) {
            faults.add("", kind, "", Rule.TOO_LARGE, tooLarge(count, max, "objects"));
        }
    }

    private static String tooLarge(long found, long max, String unit) {
        return "found %d %s, allowed %d".formatted(found, unit, max);
    }
}
