package org.snipeslip.core.config;

import java.util.List;
import org.snipeslip.core.error.ConfigFault;

/** Validates a set of configuration objects before publication, without I/O. */
public final class ConfigCheck {
    private ConfigCheck() {}

    /**
     * Applies all rules.
     *
     * @param objects all objects of the set
     * @return all faults, at most 1,000; empty if the set may be published
     */
    public static List<ConfigFault> check(List<SourcedObject> objects) {
        FaultList faults = new FaultList();
        checkObjects(objects, faults);
        ReferenceCheck references = new ReferenceCheck(objects, faults);
        references.run();
        new HomeRegionCheck(objects, faults).run();
        RouteCheck.checkAmbiguity(objects, faults);
        return faults.toList();
    }

    /**
     * Applies only the rules that do not follow references. Their results are correct even if other
     * objects of the set could not be read.
     *
     * @param objects the objects that could be read
     * @return all faults, at most 1,000
     */
    public static List<ConfigFault> checkEach(List<SourcedObject> objects) {
        FaultList faults = new FaultList();
        checkObjects(objects, faults);
        return faults.toList();
    }

    private static void checkObjects(List<SourcedObject> objects, FaultList faults) {
        SizeCheck.run(objects, faults);
        NameCheck.run(objects, faults);
        for (SourcedObject sourced : objects) {
            switch (sourced.object()) {
                case HomeRegion region -> {
                    // The only field besides the name is a boolean.
                }
                case FailureDomain domain -> {
                    // Its reference to a region is checked by ReferenceCheck.
                }
                case Organisation organisation ->
                        faults.requireRange(sourced, "weight", organisation.weight(), 1, 1_000);
                case Service service -> BackendServerCheck.checkValues(sourced, service, faults);
                case Route route -> RouteCheck.checkValues(sourced, route, faults);
            }
        }
        BackendServerCheck.checkAddresses(objects, faults);
    }
}
