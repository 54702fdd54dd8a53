package org.snipeslip.core.admission;

import org.snipeslip.core.config.Organisation;
import org.snipeslip.core.config.Route;

/**
 * Precedence of a call when servers have too little room. It belongs to the call: retries, hedges
 * and detours keep it, and another instance derives the same one.
 *
 * @param value 0 is served first
 */
public record CallRank(int value) implements Comparable<CallRank> {
    /**
     * Returns the rank of the calls that an organisation sends on a route.
     *
     * @param organisation the organisation, or null if there is none
     * @return the rank of the organisation if it has one, else that of the route
     */
    public static CallRank of(Route route, Organisation organisation) {
        return new CallRank(
                organisation == null ? route.rank() : organisation.rank().orElse(route.rank()));
    }

    @Override
    public int compareTo(CallRank other) {
        return Integer.compare(value, other.value);
    }
}
