package org.snipeslip.core.rollout;

import java.util.List;
import org.snipeslip.core.id.RouteId;

/**
 * What an instance has seen of one version on one route since the order.
 *
 * @param onTarget whether this is the new version
 * @param route the route
 * @param server name of the server for the new version; empty for the old ones together
 * @param answered tries with a good response
 * @param failed tries that failed at the server
 * @param latencies tries by {@link LatencyBuckets}, without those to cold servers
 */
public record VersionCounts(
        boolean onTarget,
        RouteId route,
        String server,
        long answered,
        long failed,
        List<Long> latencies) {
    /** Copies the list. */
    public VersionCounts {
        latencies = List.copyOf(latencies);
    }

    /** Identifies the counter in the reports of one instance. */
    record Key(boolean onTarget, RouteId route, String server) {}

    Key key() {
        return new Key(onTarget, route, server);
    }
}
