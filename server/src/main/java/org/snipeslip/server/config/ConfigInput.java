package org.snipeslip.server.config;

import java.util.ArrayList;
import java.util.List;
import org.snipeslip.core.config.ConfigCheck;
import org.snipeslip.core.config.ConfigObject;
import org.snipeslip.core.config.SourcedObject;
import org.snipeslip.core.error.ConfigFault;

/**
 * What was read from configuration files.
 *
 * @param objects the objects that could be read
 * @param faults why others could not be read
 */
public record ConfigInput(List<SourcedObject> objects, List<ConfigFault> faults) {
    /** Copies the lists. */
    public ConfigInput {
        objects = List.copyOf(objects);
        faults = List.copyOf(faults);
    }

    /**
     * Checks the whole set. Rules that follow references are applied only if every object could be
     * read, because a missing object would cause faults that no file contains.
     *
     * @return all faults, those of reading first
     */
    public List<ConfigFault> check() {
        List<ConfigFault> all = new ArrayList<>(faults);
        all.addAll(faults.isEmpty() ? ConfigCheck.check(objects) : ConfigCheck.checkEach(objects));
        return List.copyOf(all);
    }

    /**
     * Returns the objects without their sources.
     *
     * @return the objects in order of kind and name
     */
    public List<ConfigObject> configObjects() {
        return objects.stream().map(SourcedObject::object).sorted(ConfigObject.ORDER).toList();
    }
}
