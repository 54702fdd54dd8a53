package org.snipeslip.core.idempotency;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.routing.HomeRegions;

/**
 * Name of a home-region group. Calls whose records may be kept in the same regions form a group.
 * The name determines where the records may be kept:
 *
 * <ul>
 *   <li>{@code any}: calls that are not bound to regions
 *   <li>{@code any@} and region names: bound calls whose regions include a region of the object API
 *   <li>region names only: bound calls whose records must not be written to the object API
 * </ul>
 */
record GroupName(String value) {
    static final GroupName ANY = new GroupName("any");
    private static final String DURABLE_PREFIX = "any@";
    private static final String SEPARATOR = "+";

    static GroupName of(HomeRegions homeRegions, Set<RegionId> objectApiRegions) {
        if (!homeRegions.bound()) {
            return ANY;
        }
        String names =
                new TreeSet<>(homeRegions.regions())
                        .stream()
                                .map(region -> FieldEscaper.escape(region.value()))
                                .collect(Collectors.joining(SEPARATOR));
        Set<RegionId> common = new HashSet<>(homeRegions.regions());
        common.retainAll(objectApiRegions);
        if (!common.isEmpty()) {
            return new GroupName(DURABLE_PREFIX + names);
        }
        // A trailing separator distinguishes a single region named "any" from the unbound group.
        return new GroupName(names.equals(ANY.value) ? names + SEPARATOR : names);
    }

    boolean isDurable() {
        return equals(ANY) || value.startsWith(DURABLE_PREFIX);
    }

    boolean isBound() {
        return !equals(ANY);
    }

    boolean allows(RegionId region) {
        return !isBound() || regions().contains(region);
    }

    int partitions(IdempotencySettings settings) {
        return isBound() ? settings.boundPartitions() : settings.durablePartitions();
    }

    private Set<RegionId> regions() {
        String names =
                value.startsWith(DURABLE_PREFIX) ? value.substring(DURABLE_PREFIX.length()) : value;
        return Arrays.stream(names.split("\\" + SEPARATOR))
                .filter(name -> !name.isEmpty())
                .map(name -> new RegionId(FieldEscaper.unescape(name)))
                .collect(Collectors.toSet());
    }
}
