package org.snipeslip.core.config;

import java.util.List;
import org.snipeslip.core.error.ConfigFault;

/** Checks a whole set of configuration objects before publication, without I/O. */
public final class ConfigCheck {
    private ConfigCheck() {}

    /**
     * Applies every rule.
     *
     * @param objects all objects of the set
     * @return all faults, at most 1,000; empty if the set may be published
     */
    public static List<ConfigFault> check(List<SourcedObject> objects) {
        FaultList faults = new FaultList();
        eachObject(objects, faults);
        ReferenceCheck references = new ReferenceCheck(objects, faults);
        references.run();
        new HomeRegionCheck(objects, faults).run();
        RouteCheck.ambiguity(objects, faults);
        return faults.toList();
    }

    /**
     * Applies only the rules that do not follow references. They give true results even when other
     * objects of the set could not be read.
     *
     * @param objects the objects that could be read
     * @return all faults, at most 1,000
     */
    public static List<ConfigFault> checkEach(List<SourcedObject> objects) {
        FaultList faults = new FaultList();
        eachObject(objects, faults);
        return faults.toList();
    }

    private static void eachObject(List<SourcedObject> objects, FaultList faults) {
        SizeCheck.run(objects, faults);
        NameCheck.run(objects, faults);
        for (SourcedObject sourced : objects) {
            switch (sourced.object()) {
                case HomeRegion region -> {
                    // Its only value is a boolean.
                }
                case FailureDomain domain -> {
                    // Its reference is checked with the whole set.
                }
                case Organisation organisation ->
                        faults.requireRange(sourced, "weight", organisation.weight(), 1, 1_000);
                case Service service -> BackendServerCheck.values(sourced, service, faults);
                case Route route -> RouteCheck.values(sourced, route, faults);
            }
        }
        BackendServerCheck.addresses(objects, faults);
    }
}
