package org.snipeslip.core.call;

import java.util.List;
import org.snipeslip.core.admission.CallRank;
import org.snipeslip.core.admission.ShareVerdict;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.id.ServiceId;

/**
 * Limits the expected response time of calls of one service when servers are busy; calls above the
 * limit are refused. Under overload, a queue in which every response misses its target latency is
 * useless to all callers, whereas a limit keeps the servers busy with calls that are answered in
 * time. More urgent routes have a higher limit than less urgent ones, so that they are the last to
 * be refused. Guarded by the shard's lock.
 */
final class WaitLimit {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Factor on the limit of a route if the service also has less urgent routes. */
    private static final double URGENT_FACTOR = 1.5;

    /** Factor on the limit of calls whose organisation sends more than its share. */
    private static final double OVER_SHARE_FACTOR = 0.75;

    private static final CallRank BEFORE_ALL = new CallRank(-1);

    private List<Route> routes = List.of();
    private int lastOrganisationRank;

    /** Keeps the routes that have a target latency and send calls to the service. */
    void configure(ConfigSet config, ServiceId service) {
        lastOrganisationRank =
                config.organisations().values().stream()
                        .mapToInt(organisation -> organisation.rank().orElse(0))
                        .max()
                        .orElse(0);
        routes =
                config.routes().values().stream()
                        .filter(route -> route.targetLatencyMillis() > 0 && route.sendsTo(service))
                        .toList();
    }

    /** Returns the maximum expected response time of a call, in nanoseconds. */
    double maxNanos(CallState call) {
        Route route = call.route;
        if (route.targetLatencyMillis() <= 0) {
            return Double.MAX_VALUE;
        }
        long targetMillis = route.targetLatencyMillis();
        boolean starved = call.preference == ShareVerdict.Preference.STARVED;
        CallRank rank = starved ? BEFORE_ALL : call.rank;
        double factor = 1;
        for (Route other : routes) {
            if (Math.max(other.rank(), lastOrganisationRank) > rank.value()) {
                targetMillis = Math.max(targetMillis, other.targetLatencyMillis());
                factor = URGENT_FACTOR;
            }
        }
        if (call.preference == ShareVerdict.Preference.OVER_SHARE) {
            factor *= OVER_SHARE_FACTOR;
        }
        return factor * targetMillis * NANOS_PER_MILLI;
    }

    /** Returns the shortest target latency in nanoseconds, or 0 if no route has one. */
    double shortestTargetNanos() {
        return NANOS_PER_MILLI
                * routes.stream().mapToLong(Route::targetLatencyMillis).min().orElse(0);
    }
}
