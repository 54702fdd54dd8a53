package org.snipeslip.core.routing;

import java.util.HashSet;
import java.util.Set;
import org.snipeslip.core.config.Organisation;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.id.RegionId;

/**
 * The regions that one call is bound to: those of its route and its organisation together.
 *
 * @param bound whether the call is bound at all
 * @param regions the allowed regions if it is bound
 */
public record HomeRegions(boolean bound, Set<RegionId> regions) {
    /** A call that may be served anywhere. */
    public static final HomeRegions ANY = new HomeRegions(false, Set.of());

    /** Copies the set. */
    public HomeRegions {
        regions = Set.copyOf(regions);
    }

    /**
     * Intersects the home regions of a route and an organisation. Disjoint sets allow no region at
     * all; the configuration check refuses them, and here they must not widen to "any".
     *
     * @param route the route
     * @param organisation the organisation, or null
     * @return the regions of the call
     */
    public static HomeRegions of(Route route, Organisation organisation) {
        Set<RegionId> fromOrganisation =
                organisation == null ? Set.of() : organisation.homeRegions();
        if (route.homeRegions().isEmpty() && fromOrganisation.isEmpty()) {
            return ANY;
        }
        if (route.homeRegions().isEmpty()) {
            return new HomeRegions(true, fromOrganisation);
        }
        if (fromOrganisation.isEmpty()) {
            return new HomeRegions(true, route.homeRegions());
        }
        Set<RegionId> both = new HashSet<>(route.homeRegions());
        both.retainAll(fromOrganisation);
        return new HomeRegions(true, both);
    }

    /**
     * Tells whether the call may be served in a region.
     *
     * @param region the region
     * @return true if it may
     */
    public boolean allows(RegionId region) {
        return !bound || regions.contains(region);
    }
}
