package org.snipeslip.server.config;

import java.util.ArrayList;
import java.util.List;
import org.snipeslip.core.config.ConfigAdvice;
import org.snipeslip.core.config.ConfigCheck;
import org.snipeslip.core.config.ConfigObject;
import org.snipeslip.core.config.ConfigWarning;
import org.snipeslip.core.config.SourcedObject;
import org.snipeslip.core.error.ConfigFault;

/**
 * Result of reading configuration files.
 *
 * @param objects the objects that were read without a fault
 * @param faults the faults of the objects that could not be read
 */
public record ConfigInput(List<SourcedObject> objects, List<ConfigFault> faults) {
    /** Makes defensive copies of the lists. */
    public ConfigInput {
        objects = List.copyOf(objects);
        faults = List.copyOf(faults);
    }

    /**
     * Validates the whole set. References between objects are checked only if every object could be
     * read, because an object that could not be read would cause false dangling references.
     *
     * @return all faults; the faults found while reading come first
     */
    public List<ConfigFault> check() {
        List<ConfigFault> all = new ArrayList<>(faults);
        all.addAll(faults.isEmpty() ? ConfigCheck.check(objects) : ConfigCheck.checkEach(objects));
        return List.copyOf(all);
    }

    /**
     * Looks for entries that have no effect or contradict each other.
     *
     * @return the warnings; empty as long as the set has faults
     */
    public List<ConfigWarning> advice() {
        return check().isEmpty() ? ConfigAdvice.of(objects) : List.of();
    }

    /**
     * Returns the objects without their sources.
     *
     * @return the objects, ordered by kind and name
     */
    public List<ConfigObject> configObjects() {
        return objects.stream().map(SourcedObject::object).sorted(ConfigObject.ORDER).toList();
    }
}
