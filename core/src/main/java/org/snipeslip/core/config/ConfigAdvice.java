package org.snipeslip.core.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.snipeslip.core.config.ConfigWarning.Kind;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.ServiceId;

/**
 * Finds entries of a valid set that no call can match, that have no effect, or whose limits
 * contradict each other. The set may be published all the same.
 */
public final class ConfigAdvice {
    private final List<SourcedObject> objects;
    private final ConfigSet set;
    private final List<ConfigWarning> warnings = new ArrayList<>();

    private ConfigAdvice(List<SourcedObject> objects) {
        this.objects = objects;
        this.set =
                ConfigSet.of(Generation.NONE, objects.stream().map(SourcedObject::object).toList());
    }

    /**
     * Looks at a set without faults.
     *
     * @param objects all objects of the set
     * @return the warnings, in the order of the objects
     */
    public static List<ConfigWarning> of(List<SourcedObject> objects) {
        ConfigAdvice advice = new ConfigAdvice(objects);
        advice.run();
        return List.copyOf(advice.warnings);
    }

    private void run() {
        Set<ServiceId> routed = new HashSet<>();
        for (Route route : set.routes().values()) {
            set.services().keySet().stream().filter(route::sendsTo).forEach(routed::add);
        }
        for (SourcedObject sourced : objects) {
            switch (sourced.object()) {
                case Route route -> lookAt(sourced, route);
                case Service service -> lookAt(sourced, service, routed.contains(service.id()));
                case HomeRegion region -> {
                    // Regions without failure domains are planned ahead.
                }
                case FailureDomain domain -> {
                    // Failure domains without servers are planned ahead.
                }
                case Organisation organisation -> {
                    // Its home regions are checked against those of the routes by ConfigCheck.
                }
            }
        }
    }

    private void lookAt(SourcedObject sourced, Route route) {
        int colon = route.host().lastIndexOf(':');
        if (colon >= 0 && route.host().indexOf(':') == colon) {
            String detail = "found " + route.host() + ", but calls are matched without their port";
            warn(sourced, "host", Kind.NEVER_MATCHES, detail);
        }
        if (route.targetLatencyMillis() > route.deadlineMillis()) {
            String detail =
                    "target of %d ms, but the deadline is %d ms"
                            .formatted(route.targetLatencyMillis(), route.deadlineMillis());
            warn(sourced, "targetLatencyMillis", Kind.CONTRADICTORY_LIMITS, detail);
        }
        lookAtMethods(sourced, route);
        lookAtServices(sourced, route);
    }

    private void lookAtMethods(SourcedObject sourced, Route route) {
        // Without methods of its own, the idempotent ones are the default or apply to any call.
        if (route.methods().isEmpty()
                || route.idempotentMethods().equals(Route.SAFE_METHODS)
                || route.idempotentMethods().contains(Route.ANY_METHOD)) {
            return;
        }
        route.idempotentMethods().stream()
                .filter(method -> !route.methods().contains(method))
                .sorted()
                .forEach(
                        method ->
                                warn(
                                        sourced,
                                        "idempotentMethods",
                                        Kind.NO_EFFECT,
                                        method + " is not among the methods of the route"));
    }

    private void lookAtServices(SourcedObject sourced, Route route) {
        for (ServiceShare share : route.split()) {
            if (share.weight() == 0) {
                warn(sourced, "split", Kind.NO_EFFECT, share.service() + " has a weight of 0");
            }
        }
        List<ServiceId> targets =
                route.split().isEmpty()
                        ? List.of(route.service())
                        : route.split().stream().map(ServiceShare::service).toList();
        for (ServiceId target : targets) {
            Service service = set.services().get(target);
            long usable = service == null ? 0 : usableServers(service, route.homeRegions());
            if (service != null && usable == 0) {
                String detail = "no server of service " + target + " takes calls of this route";
                warn(sourced, "service", Kind.ALWAYS_REFUSED, detail);
            } else if (route.maxTries() > usable && usable > 0) {
                String detail =
                        "up to %d tries, but service %s has %d servers for this route"
                                .formatted(route.maxTries(), target, usable);
                warn(sourced, "maxTries", Kind.CONTRADICTORY_LIMITS, detail);
            }
        }
    }

    private long usableServers(Service service, Set<RegionId> homeRegions) {
        return service.backendServers().stream()
                .filter(server -> !server.draining())
                .map(server -> set.failureDomains().get(server.failureDomain()))
                .filter(domain -> domain != null && domain.inService())
                .filter(domain -> homeRegions.isEmpty() || homeRegions.contains(domain.region()))
                .count();
    }

    private void lookAt(SourcedObject sourced, Service service, boolean routed) {
        if (!routed) {
            warn(sourced, "", Kind.NO_EFFECT, "no route sends calls to it");
        }
        Map<String, BackendServer> narrow = new TreeMap<>();
        for (BackendServer server : service.backendServers()) {
            if (server.connectionLimit() < server.slots()) {
                narrow.put(server.id().value(), server);
            }
        }
        narrow.values()
                .forEach(
                        server ->
                                warn(
                                        sourced,
                                        "backendServers",
                                        Kind.CONTRADICTORY_LIMITS,
                                        "%s has %d slots, but connections for %d calls only"
                                                .formatted(
                                                        server.id(),
                                                        server.slots(),
                                                        server.connectionLimit())));
    }

    private void warn(SourcedObject sourced, String field, Kind kind, String detail) {
        warnings.add(
                new ConfigWarning(sourced.source(), sourced.object().label(), field, kind, detail));
    }
}
