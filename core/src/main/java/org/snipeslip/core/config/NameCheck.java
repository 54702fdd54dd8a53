package org.snipeslip.core.config;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import org.snipeslip.core.error.ConfigFault.Rule;

/** Checks the form of names and that no two objects of a kind share one. */
final class NameCheck {
    /** Names appear in log lines, metric labels and object API keys, so they need no escaping. */
    private static final Pattern FORM = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    private NameCheck() {}

    static void run(List<SourcedObject> objects, FaultList faults) {
        Map<String, SourcedObject> firstByLabel = new HashMap<>();
        for (SourcedObject sourced : objects) {
            form(sourced, "name", sourced.object().name(), faults);
            SourcedObject first = firstByLabel.putIfAbsent(sourced.object().label(), sourced);
            if (first != null) {
                String detail = "also defined in " + first.source();
                faults.add(sourced, "name", Rule.DUPLICATE_NAME, detail);
            }
            if (sourced.object() instanceof Service service) {
                backendServers(sourced, service, faults);
            }
        }
    }

    private static void backendServers(SourcedObject at, Service service, FaultList faults) {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < service.backendServers().size(); i++) {
            String field = BackendServerCheck.field(i, "name");
            String name = service.backendServers().get(i).id().value();
            form(at, field, name, faults);
            if (!names.add(name)) {
                faults.add(at, field, Rule.DUPLICATE_NAME, "found \"" + name + "\" twice");
            }
        }
    }

    private static void form(SourcedObject at, String field, String name, FaultList faults) {
        if (!FORM.matcher(name).matches()) {
            String detail = "found \"" + name + "\", allowed " + FORM.pattern();
            faults.add(at, field, Rule.INVALID_FORMAT, detail);
        }
    }
}
