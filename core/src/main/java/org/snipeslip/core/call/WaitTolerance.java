package org.snipeslip.core.call;

import java.util.Collection;
import java.util.List;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.id.ServiceId;

/**
 * How long calls of one service may wait at full servers before they are refused. Under overload a
 * queue that makes every answer miss its target serves nobody; a bound keeps the servers busy and
 * the answers useful. More urgent routes bear longer queues than less urgent ones, so that they are
 * the last to be refused. Guarded by the shard's lock.
 */
final class WaitTolerance {
    private static final double NANOS_PER_MILLI = 1e6;

    /** A route with less urgent ones beside it bears a queue that is this much longer. */
    private static final double URGENT_FACTOR = 1.5;

    private List<Route> routes = List.of();

    /** Takes the routes that state a target and send calls to the service. */
    void configure(Collection<Route> all, ServiceId service) {
        routes =
                all.stream()
                        .filter(route -> route.targetLatencyMillis() > 0 && route.sendsTo(service))
                        .toList();
    }

    /** Returns the longest expected time to the answer of a call of a route, in nanoseconds. */
    double nanos(Route route) {
        if (route.targetLatencyMillis() <= 0) {
            return Double.MAX_VALUE;
        }
        long targetMillis = route.targetLatencyMillis();
        double factor = 1;
        for (Route other : routes) {
            if (other.rank() > route.rank()) {
                targetMillis = Math.max(targetMillis, other.targetLatencyMillis());
                factor = URGENT_FACTOR;
            }
        }
        return factor * targetMillis * NANOS_PER_MILLI;
    }

    /** Returns the shortest target, or 0 if no route states one, in nanoseconds. */
    double shortestTargetNanos() {
        return NANOS_PER_MILLI
                * routes.stream().mapToLong(Route::targetLatencyMillis).min().orElse(0);
    }
}
