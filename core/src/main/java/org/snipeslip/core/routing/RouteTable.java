package org.snipeslip.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.Route;

/**
 * Finds the route of a call. A route with the exact host precedes one for any host, then the
 * longest path prefix that ends at a segment boundary wins, then a route that lists the method
 * precedes one that accepts any method.
 */
public final class RouteTable {
    /** Host of a route that matches every host. */
    public static final String ANY_HOST = "*";

    private static final Comparator<Route> MOST_SPECIFIC_FIRST =
            Comparator.<Route>comparingInt(route -> -route.pathPrefix().length())
                    .thenComparing(route -> route.methods().isEmpty())
                    .thenComparing(Route::id);

    private final Map<String, List<Route>> routesByHost = new HashMap<>();

    /**
     * Builds the table, which does not follow later changes of the configuration.
     *
     * @param config the configuration with the routes
     */
    public RouteTable(ConfigSet config) {
        for (Route route : config.routes().values()) {
            routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
        }
        routesByHost.values().forEach(routes -> routes.sort(MOST_SPECIFIC_FIRST));
    }

    /**
     * Finds the route of a call.
     *
     * @param host host name, in lower case because the comparison is case-sensitive
     * @param path raw path
     * @param method HTTP method
     * @return the most specific matching route, or empty if none matches
     */
    public Optional<Route> match(String host, String path, String method) {
        Optional<Route> exact = matchHost(host, path, method);
        return exact.isPresent() ? exact : matchHost(ANY_HOST, path, method);
    }

    private Optional<Route> matchHost(String host, String path, String method) {
        for (Route route : routesByHost.getOrDefault(host, List.of())) {
            if (matchesMethod(route, method) && matchesPath(route.pathPrefix(), path)) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static boolean matchesMethod(Route route, String method) {
        return route.methods().isEmpty() || route.methods().contains(method);
    }

    private static boolean matchesPath(String prefix, String path) {
        if (!path.startsWith(prefix)) {
            return false;
        }
        return prefix.endsWith("/")
                || path.length() == prefix.length()
                || path.charAt(prefix.length()) == '/';
    }
}
