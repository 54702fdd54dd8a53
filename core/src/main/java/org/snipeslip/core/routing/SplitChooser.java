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
 * Deals the calls of a split route to its services in proportion to their weights (smooth weighted
 * round robin), whatever room the services have. The credits start at random, so that instances do
 * not send their calls to the same service at the same time. Thread-safe.
 */
public final class SplitChooser {
    private final Map<RouteId, Credits> creditsByRoute = new HashMap<>();
    private final RandomGenerator random;

    /**
     * Creates a chooser.
     *
     * @param random source of the first credits
     */
    public SplitChooser(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Chooses the service of a call.
     *
     * @param route the route of the call
     * @return its only service, or the next one of its split
     */
    public ServiceId choose(Route route) {
        return route.split().isEmpty() ? route.service() : next(route);
    }

    private synchronized ServiceId next(Route route) {
        Credits credits = creditsByRoute.get(route.id());
        if (credits == null || !credits.split.equals(route.split())) {
            credits = new Credits(route.split(), random);
            creditsByRoute.put(route.id(), credits);
        }
        return credits.next();
    }

    /** Credits of the parts of one split. */
    private static final class Credits {
        private final List<ServiceShare> split;
        private final double[] shares;
        private final double[] credits;

        Credits(List<ServiceShare> split, RandomGenerator random) {
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
