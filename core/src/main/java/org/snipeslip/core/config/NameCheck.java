package org.snipeslip.core.config;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import org.snipeslip.core.error.ConfigFault.Rule;

/** Checks the format of names and that they are unique among the objects of a kind. */
final class NameCheck {
    /**
     * Allowed names. They appear in log lines, metric labels and keys of the object API, so only
     * characters that need no escaping are allowed.
     */
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    private NameCheck() {}

    static void run(List<SourcedObject> objects, FaultList faults) {
        Map<String, SourcedObject> firstByLabel = new HashMap<>();
        for (SourcedObject sourced : objects) {
            checkFormat(sourced, "name", sourced.object().name(), faults);
            SourcedObject first = firstByLabel.putIfAbsent(sourced.object().label(), sourced);
            if (first != null) {
                String detail = "also defined in " + first.source();
                faults.add(sourced, "name", Rule.DUPLICATE_NAME, detail);
            }
            if (sourced.object() instanceof Service service) {
                checkBackendServerNames(sourced, service, faults);
            }
        }
    }

    private static void checkBackendServerNames(
            SourcedObject sourced, Service service, FaultList faults) {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < service.backendServers().size(); i++) {
            String field = BackendServerCheck.fieldPath(i, "name");
            String name = service.backendServers().get(i).id().value();
            checkFormat(sourced, field, name, faults);
            if (!names.add(name)) {
                faults.add(sourced, field, Rule.DUPLICATE_NAME, "found \"" + name + "\" twice");
            }
        }
    }

    private static void checkFormat(
            SourcedObject sourced, String field, String name, FaultList faults) {
        if (!NAME.matcher(name).matches()) {
            String detail = "found \"" + name + "\", allowed " + NAME.pattern();
            faults.add(sourced, field, Rule.INVALID_FORMAT, detail);
        }
    }
}
