package org.snipeslip.core.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import org.snipeslip.core.error.ConfigFault.Rule;

/** Checks the field values of routes and that no two routes match the same calls. */
final class RouteCheck {
    /**
     * Host names are matched in lower case, so a route with an upper-case host would never match.
     */
    private static final Pattern HOST =
            Pattern.compile("\\*|[a-z0-9]([a-z0-9.:-]{0,251}[a-z0-9])?");

    /**
     * Raw paths are matched, so a prefix may contain the characters that RFC 3986 allows in a path.
     */
    private static final Pattern PATH_PREFIX =
            Pattern.compile("/([A-Za-z0-9._~!$&'()*+,;=:@/-]|%[0-9A-Fa-f]{2}){0,1023}");

    private static final Pattern METHOD = Pattern.compile("[A-Z]{1,20}");
    private static final long MAX_DEADLINE_MILLIS = 600_000;

    private static final int MAX_TRIES = 16;
    private static final int MAX_RANK = 100;
    private static final int MAX_WEIGHT = 1_000_000;

    private RouteCheck() {}

    static void checkValues(SourcedObject sourced, Route route, FaultList faults) {
        checkFormat(sourced, "host", route.host(), HOST, faults);
        checkFormat(sourced, "pathPrefix", route.pathPrefix(), PATH_PREFIX, faults);
        route.methods().stream()
                .sorted()
                .forEach(method -> checkFormat(sourced, "methods", method, METHOD, faults));
        route.idempotentMethods().stream()
                .sorted()
                .forEach(
                        method ->
                                checkFormat(sourced, "idempotentMethods", method, METHOD, faults));
        faults.requireRange(
                sourced, "deadlineMillis", route.deadlineMillis(), 1, MAX_DEADLINE_MILLIS);
        faults.requireRange(sourced, "maxTries", route.maxTries(), 0, MAX_TRIES);
        faults.requireRange(
                sourced,
                "targetLatencyMillis",
                route.targetLatencyMillis(),
                0,
                MAX_DEADLINE_MILLIS);
        faults.requireRange(sourced, "rank", route.rank(), 0, MAX_RANK);
        checkSplit(sourced, route, faults);
    }

    /** Checks the weights of a split; with a total weight of 0, no service could receive a call. */
    private static void checkSplit(SourcedObject sourced, Route route, FaultList faults) {
        long totalWeight = 0;
        for (int i = 0; i < route.split().size(); i++) {
            int weight = route.split().get(i).weight();
            faults.requireRange(sourced, "split[" + i + "].weight", weight, 0, MAX_WEIGHT);
            totalWeight += weight;
        }
        if (!route.split().isEmpty()) {
            faults.requireRange(sourced, "split", totalWeight, 1, Long.MAX_VALUE);
        }
    }

    private static void checkFormat(
            SourcedObject sourced, String field, String text, Pattern allowed, FaultList faults) {
        if (!allowed.matcher(text).matches()) {
            String detail = "found \"" + text + "\", allowed " + allowed.pattern();
            faults.add(sourced, field, Rule.INVALID_FORMAT, detail);
        }
    }

    static void checkAmbiguity(List<SourcedObject> objects, FaultList faults) {
        Map<String, List<Route>> routesByHostAndPrefix = new HashMap<>();
        for (SourcedObject sourced : objects) {
            if (sourced.object() instanceof Route route) {
                List<Route> others =
                        routesByHostAndPrefix.computeIfAbsent(
                                route.host() + " " + route.pathPrefix(), key -> new ArrayList<>());
                others.stream()
                        .filter(other -> !other.id().equals(route.id()))
                        .filter(other -> methodsOverlap(route.methods(), other.methods()))
                        .findFirst()
                        .ifPresent(other -> reportAmbiguity(sourced, other, faults));
                others.add(route);
            }
        }
    }

    private static void reportAmbiguity(SourcedObject sourced, Route other, FaultList faults) {
        String detail = other.label() + " has the same host and path prefix and a common method";
        faults.add(sourced, "methods", Rule.AMBIGUOUS_ROUTE, detail);
    }

    /**
     * Returns whether two sets of methods make their routes ambiguous. A route with explicit
     * methods takes precedence over one that matches any method, so such a pair is unambiguous.
     */
    private static boolean methodsOverlap(Set<String> methods, Set<String> others) {
        return methods.isEmpty() == others.isEmpty()
                && (methods.isEmpty() || !Collections.disjoint(methods, others));
    }
}
