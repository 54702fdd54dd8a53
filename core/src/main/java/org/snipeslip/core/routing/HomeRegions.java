package org.snipeslip.core.routing;

import java.util.HashSet;
import java.util.Set;
import org.snipeslip.core.config.Organisation;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.id.RegionId;

/**
 * The regions that a call is restricted to: the intersection of the home regions of its route and
 * of its organisation.
 *
 * @param bound whether the call is restricted to regions at all
 * @param regions the allowed regions if it is restricted; none if it may not be served anywhere
 */
public record HomeRegions(boolean bound, Set<RegionId> regions) {
    /** No restriction: the call may be served in every region. */
    public static final HomeRegions ANY = new HomeRegions(false, Set.of());

    /** Makes an immutable copy of the set. */
    public HomeRegions {
        regions = Set.copyOf(regions);
    }

    /**
     * Intersects the home regions of a route and an organisation; an empty set is no restriction.
     * Disjoint sets allow no region at all: the configuration check rejects them, and here they
     * must not be treated as "no restriction".
     *
     * @param route the route
     * @param organisation the organisation, or null if there is none
     * @return the regions in which the call may be served
     */
    public static HomeRegions of(Route route, Organisation organisation) {
        Set<RegionId> organisationRegions =
                organisation == null ? Set.of() : organisation.homeRegions();
        if (route.homeRegions().isEmpty() && organisationRegions.isEmpty()) {
            return ANY;
        }
        if (route.homeRegions().isEmpty()) {
            return new HomeRegions(true, organisationRegions);
        }
        if (organisationRegions.isEmpty()) {
            return new HomeRegions(true, route.homeRegions());
        }
        Set<RegionId> intersection = new HashSet<>(route.homeRegions());
        intersection.retainAll(organisationRegions);
        return new HomeRegions(true, intersection);
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
