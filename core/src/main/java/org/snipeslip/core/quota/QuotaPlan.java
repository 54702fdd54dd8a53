package org.snipeslip.core.quota;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.snipeslip.core.id.OrganisationId;

/**
 * What this instance wants to borrow from whom: as a member of a region from its coordinator, as
 * coordinator from the instances of its region and, if these have too little, from the coordinators
 * of other regions.
 */
final class QuotaPlan {
    /**
     * A coordinator borrows a little more than is asked for, to serve the next question at once.
     */
    private static final double RESERVE = 0.15;

    /** Less of other regions, which need what they have. */
    private static final double FAR_RESERVE = 0.05;

    /** Part of a loan by which the need may fall before any of it is returned. */
    private static final double KEPT = 0.8;

    /** A coordinator of another region borrows for the next question what it lacks. */
    private static final int REGION_ASKS = 3;

    private final QuotaFleet fleet;
    private final long nowNanos;
    private final Map<String, Target> targets = new TreeMap<>();

    private final List<QuotaLender> neighboursInRegion;

    /** Null if this instance acts as coordinator. */
    private final QuotaLender coordinator;

    /**
     * Creates an empty plan.
     *
     * @param coordinates whether others ask this instance as coordinator
     */
    QuotaPlan(QuotaFleet fleet, boolean coordinates, long nowNanos) {
        this.fleet = fleet;
        this.neighboursInRegion = fleet.neighbours(nowNanos);
        this.coordinator = coordinates ? null : fleet.coordinator(nowNanos);
        this.nowNanos = nowNanos;
    }

    /** Returns the wanted calls of each lender. */
    Map<String, Target> targets() {
        return targets;
    }

    /**
     * Adds what is wanted for one organisation.
     *
     * @param calls the calls of a window that all instances together may admit
     */
    void add(OrganisationId organisation, OrganisationQuota quota, int calls) {
        Map<String, Integer> wanted = new LinkedHashMap<>();
        if (coordinator == null) {
            addOfCoordinator(organisation, quota, calls, wanted);
        } else {
            int lacking = quota.demand(nowNanos) - quota.ownPart() + quota.lentCalls(nowNanos);
            if (lacking > 0) {
                wanted.put(coordinator.peer().name(), lacking);
            }
        }
        for (String lender : quota.lenders()) {
            wanted.putIfAbsent(lender, 0);
        }
        wanted.forEach((lender, number) -> put(lender, organisation, quota, number));
    }

    private void addOfCoordinator(
            OrganisationId organisation,
            OrganisationQuota quota,
            int calls,
            Map<String, Integer> wanted) {
        int members = quota.claimedCalls(QuotaAsk.Kind.MEMBER, nowNanos);
        int regions = quota.claimedCalls(QuotaAsk.Kind.REGION, nowNanos);
        int near = quota.demand(nowNanos) + members;
        int all = withReserve(near + regions, RESERVE);
        int lacking = Math.max(0, all - quota.ownPart());
        List<QuotaLender> neighbours = new ArrayList<>();
        // Existing loans come first, so that few instances are asked.
        for (QuotaLender each : neighboursInRegion) {
            if (quota.borrowedFrom(each.peer().name()) > 0) {
                neighbours.addFirst(each);
            } else {
                neighbours.add(each);
            }
        }
        int taken = 0;
        for (QuotaLender each : neighbours) {
            String name = each.peer().name();
            int part = fleet.partOf(each.peer(), organisation, calls);
            int most = quota.isShort(name, 1, nowNanos) ? quota.borrowedFrom(name) : part;
            int loan = Math.min(most, lacking - taken);
            if (loan > 0) {
                wanted.put(name, loan);
                taken += loan;
            }
        }
        int far = Math.max(0, withReserve(near, FAR_RESERVE) - quota.ownPart() - taken);
        addOtherRegions(quota, far, wanted);
    }

    /** Divides what the own region lacks among the others that have not refused to lend more. */
    private void addOtherRegions(OrganisationQuota quota, int far, Map<String, Integer> wanted) {
        List<QuotaLender> others = fleet.otherCoordinators(nowNanos);
        int rest = far;
        int open = 0;
        for (QuotaLender each : others) {
            int borrowed = Math.min(rest, quota.borrowedFrom(each.peer().name()));
            rest -= borrowed;
            wanted.put(each.peer().name(), borrowed);
            open += quota.isShort(each.peer().name(), REGION_ASKS, nowNanos) ? 0 : 1;
        }
        int more = open == 0 ? 0 : Math.ceilDiv(rest, open);
        for (QuotaLender each : others) {
            String name = each.peer().name();
            if (!quota.isShort(name, REGION_ASKS, nowNanos)) {
                wanted.merge(name, more, Integer::sum);
            }
            wanted.remove(name, 0);
        }
        quota.asked(open > 0 || rest == 0, nowNanos);
    }

    private static int withReserve(int calls, double reserve) {
        return calls + (int) Math.ceil(reserve * calls);
    }

    private void put(
            String lender, OrganisationId organisation, OrganisationQuota quota, int wanted) {
        QuotaLender link = fleet.link(lender);
        if (link == null || link.isAvoided(nowNanos)) {
            return;
        }
        int borrowed = quota.borrowedFrom(lender);
        boolean scarce = kindOf(link) != QuotaAsk.Kind.OWN_PART && quota.isScarce(nowNanos);
        boolean keeps = !scarce && wanted > 0 && wanted < borrowed && wanted >= KEPT * borrowed;
        int target = keeps ? borrowed : wanted;
        Target all = targets.computeIfAbsent(lender, name -> new Target(link, kindOf(link)));
        all.wanted.put(organisation, target);
        all.more |= target > borrowed;
        all.urgent |= target > borrowed && quota.isStarved();
    }

    private QuotaAsk.Kind kindOf(QuotaLender link) {
        if (coordinator != null) {
            return QuotaAsk.Kind.MEMBER;
        }
        return fleet.isNeighbour(link) ? QuotaAsk.Kind.OWN_PART : QuotaAsk.Kind.REGION;
    }

    /** What is wanted of one lender. */
    static final class Target {
        final QuotaLender link;
        final QuotaAsk.Kind kind;
        final Map<OrganisationId, Integer> wanted = new TreeMap<>();
        boolean more;
        boolean urgent;

        private Target(QuotaLender link, QuotaAsk.Kind kind) {
            this.link = link;
            this.kind = kind;
        }
    }
}
