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
     * Compares two sets. Objects are matched by kind and name.
     *
     * @param older objects of the older set
     * @param newer objects of the newer set
     * @return one change for each object that differs, ordered by kind and name
     */
    public static List<ConfigChange> between(
            List<? extends ConfigObject> older, List<? extends ConfigObject> newer) {
        Map<ConfigObject, ConfigObject> before = indexByKey(older);
        Map<ConfigObject, ConfigObject> after = indexByKey(newer);
        Map<ConfigObject, ConfigObject> all = new TreeMap<>(ConfigObject.ORDER);
        all.putAll(before);
        all.putAll(after);
        List<ConfigChange> changes = new ArrayList<>();
        for (ConfigObject key : all.keySet()) {
            ConfigObject oldObject = before.get(key);
            ConfigObject newObject = after.get(key);
            if (oldObject == null) {
                changes.add(new ConfigChange(key.label(), ConfigChange.Type.ADDED, List.of()));
            } else if (newObject == null) {
                changes.add(new ConfigChange(key.label(), ConfigChange.Type.REMOVED, List.of()));
            } else if (!oldObject.equals(newObject)) {
                changes.add(
                        new ConfigChange(
                                key.label(),
                                ConfigChange.Type.CHANGED,
                                changedFields(oldObject, newObject)));
            }
        }
        return List.copyOf(changes);
    }

    private static Map<ConfigObject, ConfigObject> indexByKey(
            List<? extends ConfigObject> objects) {
        Map<ConfigObject, ConfigObject> index = new TreeMap<>(ConfigObject.ORDER);
        objects.forEach(object -> index.put(object, object));
        return index;
    }

    private static List<String> changedFields(ConfigObject oldObject, ConfigObject newObject) {
        ObjectNode before = ObjectWriter.write(oldObject);
        ObjectNode after = ObjectWriter.write(newObject);
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
