package org.snipeslip.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.config.ServiceShare;
import org.snipeslip.core.id.RouteId;
import org.snipeslip.core.id.ServiceId;

/**
 * Distributes the calls of a split route over its services in proportion to their weights (smooth
 * weighted round robin), regardless of the free capacity of the services. The initial credits are
 * random, so that instances do not send their calls to the same service at the same time.
 * Thread-safe.
 */
public final class SplitChooser {
    private final Map<RouteId, WeightedRoundRobin> roundRobinByRoute = new HashMap<>();
    private final RandomGenerator random;

    /**
     * Creates a chooser.
     *
     * @param random source of the initial credits
     */
    public SplitChooser(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Chooses the service of a call.
     *
     * @param route the route of the call
     * @return the service of the route, or the next one of its split
     */
    public ServiceId choose(Route route) {
        return route.split().isEmpty() ? route.service() : nextOfSplit(route);
    }

    private synchronized ServiceId nextOfSplit(Route route) {
        WeightedRoundRobin roundRobin = roundRobinByRoute.get(route.id());
        if (roundRobin == null || !roundRobin.split.equals(route.split())) {
            roundRobin = new WeightedRoundRobin(route.split(), random);
            roundRobinByRoute.put(route.id(), roundRobin);
        }
        return roundRobin.next();
    }

    /** Shares and current credits of the services of one split. */
    private static final class WeightedRoundRobin {
        private final List<ServiceShare> split;
        private final double[] shares;
        private final double[] credits;

        WeightedRoundRobin(List<ServiceShare> split, RandomGenerator random) {
            this.split = split;
            this.shares = new double[split.size()];
            this.credits = new double[split.size()];
            double total = Math.max(1, split.stream().mapToInt(ServiceShare::weight).sum());
            for (int i = 0; i < shares.length; i++) {
                shares[i] = split.get(i).weight() / total;
                credits[i] = shares[i] * random.nextDouble();
            }
        }

        ServiceId next() {
            int best = 0;
            for (int i = 0; i < credits.length; i++) {
                credits[i] += shares[i];
                best = credits[i] > credits[best] ? i : best;
            }
            credits[best] -= 1;
            return split.get(best).service();
        }
    }
}
