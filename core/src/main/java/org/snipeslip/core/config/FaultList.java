package org.snipeslip.core.config;

import java.util.ArrayList;
import java.util.List;
import org.snipeslip.core.error.ConfigFault;
import org.snipeslip.core.error.ConfigFault.Rule;

/**
 * Collects faults, up to a limit: a single mistake in a large set can cause a fault in every object
 * and would otherwise exhaust the memory.
 */
final class FaultList {
    private static final int MAX_FAULTS = 1_000;

    private final List<ConfigFault> faults = new ArrayList<>();

    void add(SourcedObject sourced, String field, Rule rule, String detail) {
        add(sourced.source(), sourced.object().label(), field, rule, detail);
    }

    void add(String source, String object, String field, Rule rule, String detail) {
        if (faults.size() < MAX_FAULTS) {
            faults.add(new ConfigFault(source, object, field, rule, detail));
        }
    }

    void requireRange(SourcedObject sourced, String field, long value, long min, long max) {
        if (value < min || value > max) {
            String detail = "found %d, allowed %d to %d".formatted(value, min, max);
            add(sourced, field, Rule.OUT_OF_RANGE, detail);
        }
    }

    List<ConfigFault> toList() {
        return List.copyOf(faults);
    }
}
