package org.snipeslip.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RouteId;
import org.snipeslip.core.id.ServerVersion;

/**
 * Divides the calls of one service between the old versions and a new one, and counts what they
 * answer. Guarded by its own lock, which is the last in the lock order; the rule is read without
 * it.
 */
public final class ServiceVersions {
    /** The versions of a service without rollouts: all are alike. */
    public static final ServiceVersions UNRESTRICTED = new ServiceVersions(null, null);

    /** Part of the earned calls that the first step spends; the rest is saved for the second. */
    private static final double CANARY_PART = 0.5;

    /** Share of the calls that go to the new version while saved calls are spent. */
    private static final double LOAD_SHARE = 0.5;

    private final RolloutSettings settings;
    private final RandomGenerator random;
    private final UsualVersions usual = new UsualVersions();
    private List<BackendServer> servers = List.of();
    private Map<BackendServerId, RegionId> regions = Map.of();
    private RolloutEntry entry;
    private RolloutStep step;
    private ExposureBudget exposure;
    private VersionEvidence evidence;
    private int instances = 1;
    private volatile VersionRule rule = VersionRule.ANY;

    ServiceVersions(RolloutSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    /** Updates the number of instances among which the constant part of the exposure is shared. */
    public synchronized void setInstances(int newInstances) {
        instances = newInstances;
    }

    /**
     * Applies the servers of the service and the order that concerns it.
     *
     * @param newServers all servers of the service
     * @param config the configuration that they belong to
     * @param newEntry the order, or null if there is none
     */
    public synchronized void configure(
            List<BackendServer> newServers, ConfigSet config, RolloutEntry newEntry) {
        if (settings == null) {
            return;
        }
        servers = newServers;
        regions = new HashMap<>();
        for (BackendServer server : newServers) {
            var domain = config.failureDomains().get(server.failureDomain());
            if (domain.inService() && !server.draining()) {
                regions.put(server.id(), domain.region());
            }
        }
        boolean sameOrder =
                entry != null && newEntry != null && entry.target().equals(newEntry.target());
        if (!sameOrder) {
            replaceOrder(newEntry);
        } else if (newEntry.isDecided() || !entry.isDecided()) {
            entry = newEntry;
        }
        if (entry != null && entry.isDecided()) {
            follow(finalStep(entry));
        }
        update();
    }

    private static RolloutStep finalStep(RolloutEntry decided) {
        return decided.state() == RolloutState.COMPLETED
                ? RolloutStep.COMPLETED
                : RolloutStep.ROLLED_BACK;
    }

    private void replaceOrder(RolloutEntry newEntry) {
        if (entry != null && step != null && !step.isFinal()) {
            // The order was taken back, and its version with it.
            usual.reject(entry.target());
        }
        entry = newEntry;
        step = null;
        if (newEntry != null && !newEntry.isDecided()) {
            usual.order(newEntry.target());
            step = RolloutStep.CANARY;
            exposure = new ExposureBudget(settings, instances, random);
            evidence = new VersionEvidence();
        }
    }

    /**
     * Follows a step of the rollout. Earlier steps are ignored, except that the store's decision
     * for the new version outweighs this instance's judgement against it.
     *
     * @param newStep the step
     */
    public synchronized void advance(RolloutStep newStep) {
        if (entry != null && follow(newStep)) {
            update();
        }
    }

    private boolean follow(RolloutStep newStep) {
        if (step != null && newStep.compareTo(step) <= 0) {
            return false;
        }
        step = newStep;
        if (newStep == RolloutStep.COMPLETED) {
            usual.complete(entry.target());
        } else if (newStep == RolloutStep.ROLLED_BACK) {
            usual.reject(entry.target());
        }
        return true;
    }

    private void update() {
        boolean divides = step != null && !step.isFinal();
        usual.configure(servers, divides ? entry.target() : null);
        rule =
                new VersionRule(
                        divides ? entry.target() : null,
                        divides ? step : null,
                        usual.barred(),
                        divides ? canaries() : Set.of());
    }

    /**
     * Returns so many new servers of each region that the first step loads each of them about as
     * much as an old one is loaded.
     */
    private Set<BackendServerId> canaries() {
        Map<RegionId, List<BackendServerId>> byRegion = new HashMap<>();
        for (BackendServer server : servers) {
            if (entry.target().equals(server.version()) && regions.containsKey(server.id())) {
                byRegion.computeIfAbsent(regions.get(server.id()), unused -> new ArrayList<>())
                        .add(server.id());
            }
        }
        Set<BackendServerId> canaries = new HashSet<>();
        for (List<BackendServerId> each : byRegion.values()) {
            each.sort((a, b) -> Long.compare(RolloutRank.of(a.value()), RolloutRank.of(b.value())));
            int size = (int) Math.max(1, Math.ceil(settings.exposeShare() * each.size()));
            canaries.addAll(each.subList(0, size));
        }
        return canaries;
    }

    /**
     * Decides to which versions the first try of a call goes. A call for the new version is taken
     * from the allowed exposure until {@link #sent}.
     *
     * @return the group, or null if calls are not divided
     */
    public VersionGroup assign() {
        return rule.divides() ? assignDivided() : null;
    }

    private synchronized VersionGroup assignDivided() {
        if (!rule.divides()) {
            return null;
        }
        exposure.earn();
        double share =
                switch (step) {
                    case CANARY -> CANARY_PART * exposure.earnedPerCall();
                    case LOAD -> LOAD_SHARE;
                    case SHIFT, COMPLETED -> 1;
                    case ROLLED_BACK -> 0;
                };
        boolean toNew = step == RolloutStep.SHIFT || random.nextDouble() < share && exposure.take();
        return toNew ? VersionGroup.NEW : VersionGroup.OLD;
    }

    /**
     * Returns to which versions a repeated try goes.
     *
     * @return the old ones, unless all calls go to the new one
     */
    public VersionGroup repeatGroup() {
        return rule.step() == RolloutStep.SHIFT ? VersionGroup.NEW : VersionGroup.OLD;
    }

    /**
     * Returns a call for the new version to the allowed exposure, because it goes to an old one.
     */
    public synchronized void giveBack() {
        if (exposure != null) {
            exposure.giveBack();
        }
    }

    /**
     * Returns whether a server may get a call.
     *
     * @param server the server
     * @param group group of the call, or null
     * @return false if its version gets no calls, or no calls of this group
     */
    public boolean allows(BackendServer server, VersionGroup group) {
        VersionRule current = rule;
        return current == VersionRule.ANY || current.allows(server, group);
    }

    /**
     * Returns whether a try that was decided may still be sent.
     *
     * @param server the server
     * @return false if its version gets no calls any more
     */
    public boolean maySend(BackendServer server) {
        return rule.allows(server);
    }

    /**
     * Counts a try that has ended at its server.
     *
     * @param server the server
     * @param route route of the call
     * @param failed whether the server failed
     * @param nanos response time without the network, or a negative number if it says nothing
     */
    public void answered(BackendServer server, RouteId route, boolean failed, double nanos) {
        if (rule.divides()) {
            count(server, route, failed, nanos);
        }
    }

    private synchronized void count(
            BackendServer server, RouteId route, boolean failed, double nanos) {
        evidence.add(key(server, route), failed, nanos);
    }

    /**
     * Counts a try that was given up while its server was at work.
     *
     * @param server the server
     * @param route route of the call
     * @param nanos time that the server has had
     */
    public void givenUp(BackendServer server, RouteId route, double nanos) {
        if (rule.divides()) {
            synchronized (this) {
                evidence.addLatency(key(server, route), nanos);
            }
        }
    }

    private VersionCounts.Key key(BackendServer server, RouteId route) {
        boolean isNew = entry != null && entry.target().equals(server.version());
        return new VersionCounts.Key(isNew, route, isNew ? server.id().value() : "");
    }

    /** Returns the versions that get no calls. */
    Set<ServerVersion> barred() {
        return rule.barred();
    }

    /** Returns the order that the calls follow, or null. */
    synchronized RolloutEntry entry() {
        return entry;
    }

    /** Returns the step that the calls follow, or null. */
    synchronized RolloutStep step() {
        return step;
    }

    /** Returns what was counted since the order. */
    synchronized List<VersionCounts> totals() {
        return evidence == null ? List.of() : evidence.totals();
    }
}
