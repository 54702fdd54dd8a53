package org.snipeslip.core.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import org.snipeslip.core.error.ConfigFault.Rule;

/** Checks the values of routes and that no two routes match the same calls. */
final class RouteCheck {
    /** Routing compares host names in lower case, so other routes would never match. */
    private static final Pattern HOST =
            Pattern.compile("\\*|[a-z0-9]([a-z0-9.:-]{0,251}[a-z0-9])?");

    /** Routing compares raw paths, so the prefix allows what RFC 3986 allows in a path. */
    private static final Pattern PATH_PREFIX =
            Pattern.compile("/([A-Za-z0-9._~!$&'()*+,;=:@/-]|%[0-9A-Fa-f]{2}){0,1023}");

    private static final Pattern METHOD = Pattern.compile("[A-Z]{1,20}");
    private static final long MAX_DEADLINE_MILLIS = 600_000;

    private static final int MAX_TRIES = 16;
    private static final int MAX_RANK = 100;
    private static final int MAX_WEIGHT = 1_000_000;

    private RouteCheck() {}

    static void values(SourcedObject at, Route route, FaultList faults) {
        form(at, "host", route.host(), HOST, faults);
        form(at, "pathPrefix", route.pathPrefix(), PATH_PREFIX, faults);
        route.methods().stream()
                .sorted()
                .forEach(method -> form(at, "methods", method, METHOD, faults));
        route.idempotentMethods().stream()
                .sorted()
                .forEach(method -> form(at, "idempotentMethods", method, METHOD, faults));
        faults.requireRange(at, "deadlineMillis", route.deadlineMillis(), 1, MAX_DEADLINE_MILLIS);
        faults.requireRange(at, "maxTries", route.maxTries(), 0, MAX_TRIES);
        faults.requireRange(
                at, "targetLatencyMillis", route.targetLatencyMillis(), 0, MAX_DEADLINE_MILLIS);
        faults.requireRange(at, "rank", route.rank(), 0, MAX_RANK);
        split(at, route, faults);
    }

    /** A split without any weight could send a call nowhere. */
    private static void split(SourcedObject at, Route route, FaultList faults) {
        long total = 0;
        for (int i = 0; i < route.split().size(); i++) {
            int weight = route.split().get(i).weight();
            faults.requireRange(at, "split[" + i + "].weight", weight, 0, MAX_WEIGHT);
            total += weight;
        }
        if (!route.split().isEmpty()) {
            faults.requireRange(at, "split", total, 1, Long.MAX_VALUE);
        }
    }

    private static void form(
            SourcedObject at, String field, String text, Pattern allowed, FaultList faults) {
        if (!allowed.matcher(text).matches()) {
            String detail = "found \"" + text + "\", allowed " + allowed.pattern();
            faults.add(at, field, Rule.INVALID_FORMAT, detail);
        }
    }

    static void ambiguity(List<SourcedObject> objects, FaultList faults) {
        Map<String, List<Route>> routesByMatch = new HashMap<>();
        for (SourcedObject sourced : objects) {
            if (sourced.object() instanceof Route route) {
                List<Route> others =
                        routesByMatch.computeIfAbsent(
                                route.host() + " " + route.pathPrefix(), key -> new ArrayList<>());
                others.stream()
                        .filter(other -> !other.id().equals(route.id()))
                        .filter(other -> overlap(route.methods(), other.methods()))
                        .findFirst()
                        .ifPresent(other -> ambiguous(sourced, other, faults));
                others.add(route);
            }
        }
    }

    private static void ambiguous(SourcedObject at, Route other, FaultList faults) {
        String detail = other.label() + " has the same host and path prefix and a common method";
        faults.add(at, "methods", Rule.AMBIGUOUS_ROUTE, detail);
    }

    /** A route that names a method precedes one that takes any, so such a pair is unambiguous. */
    private static boolean overlap(Set<String> methods, Set<String> others) {
        return methods.isEmpty() == others.isEmpty()
                && (methods.isEmpty() || !Collections.disjoint(methods, others));
    }
}
