package org.snipeslip.server.config;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.snipeslip.core.config.ConfigObject;

/** Compares two sets of configuration objects. */
public final class ConfigDiff {
    private ConfigDiff() {}

    /**
     * Compares two sets.
     *
     * @param older objects before
     * @param newer objects after
     * @return the objects that differ, in order of kind and name
     */
    public static List<ConfigChange> between(
            List<? extends ConfigObject> older, List<? extends ConfigObject> newer) {
        Map<ConfigObject, ConfigObject> before = index(older);
        Map<ConfigObject, ConfigObject> after = index(newer);
        Map<ConfigObject, ConfigObject> all = new TreeMap<>(ConfigObject.ORDER);
        all.putAll(before);
        all.putAll(after);
        List<ConfigChange> changes = new ArrayList<>();
        for (ConfigObject key : all.keySet()) {
            ConfigObject was = before.get(key);
            ConfigObject is = after.get(key);
            if (was == null) {
                changes.add(new ConfigChange(key.label(), ConfigChange.Type.ADDED, List.of()));
            } else if (is == null) {
                changes.add(new ConfigChange(key.label(), ConfigChange.Type.REMOVED, List.of()));
            } else if (!was.equals(is)) {
                changes.add(
                        new ConfigChange(
                                key.label(), ConfigChange.Type.CHANGED, differing(was, is)));
            }
        }
        return List.copyOf(changes);
    }

    private static Map<ConfigObject, ConfigObject> index(List<? extends ConfigObject> objects) {
        Map<ConfigObject, ConfigObject> index = new TreeMap<>(ConfigObject.ORDER);
        objects.forEach(object -> index.put(object, object));
        return index;
    }

    private static List<String> differing(ConfigObject was, ConfigObject is) {
        ObjectNode before = ObjectWriter.write(was);
        ObjectNode after = ObjectWriter.write(is);
        List<String> fields = new ArrayList<>();
        before.fieldNames()
                .forEachRemaining(
                        field -> {
                            if (!before.get(field).equals(after.get(field))) {
                                fields.add(field);
                            }
                        });
        return fields;
    }
}
