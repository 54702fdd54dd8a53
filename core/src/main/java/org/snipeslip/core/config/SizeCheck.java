package org.snipeslip.core.config;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.snipeslip.core.error.ConfigFault.Rule;

/** Checks the sizes that instances reserve memory for and that the object API accepts. */
final class SizeCheck {
    private static final int MAX_OBJECTS_OF_A_KIND = 4_096;
    private static final long MAX_SET_BYTES = 16L << 20;

    /** Largest value of the object API. */
    private static final long MAX_VALUE_BYTES = 1L << 20;

    /** A head holds 67 bytes for each part and must fit into one value of the object API. */
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
        counts.forEach((kind, count) -> count(faults, kind.text(), count, MAX_OBJECTS_OF_A_KIND));
        count(faults, "", objects.size(), MAX_OBJECTS);
        if (setBytes > MAX_SET_BYTES) {
            faults.add("", "", "", Rule.TOO_LARGE, tooLarge(setBytes, MAX_SET_BYTES, "bytes"));
        }
    }

    private static void count(FaultList faults, String kind, int count, int max) {
        if (count > max) {
            faults.add("", kind, "", Rule.TOO_LARGE, tooLarge(count, max, "objects"));
        }
    }

    private static String tooLarge(long found, long max, String unit) {
        return "found %d %s, allowed %d".formatted(found, unit, max);
    }
}
