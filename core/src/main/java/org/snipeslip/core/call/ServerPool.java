package org.snipeslip.core.call;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.snipeslip.core.call.DecisionRecord.Exclusion;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.FailureDomain;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.load.Distance;
import org.snipeslip.core.load.ServiceLoad;
import org.snipeslip.core.rollout.ServiceVersions;
import org.snipeslip.core.selection.Candidates;
import org.snipeslip.core.selection.PolicyName;
import org.snipeslip.core.selection.SelectionPolicy;

/** The backend servers of one service and their selection. Guarded by the shard's lock. */
final class ServerPool {
    /**
     * Candidates reserved for each distance when there are more servers than the policy considers,
     * so that nearer servers never crowd out farther ones.
     */
    private static final int[] RESERVED_CANDIDATES = {12, 8, 4};

    /** Servers examined per distance if at least one candidate was found. */
    private static final int SCAN_LIMIT = 96;

    private static final double NANOS_PER_MILLI = 1e6;

    /**
     * Refused callers are told to retry after a random 0.5 to 1.5 times the expected response time,
     * so that they do not return all at once.
     */
    private static final double MIN_RETRY_SPREAD = 0.5;

    /**
     * Fraction of the target latency that the expected time may use. Expected times are means; the
     * rest is a margin for their variance.
     */
    private static final double EXPECTED_TIME_FRACTION = 0.75;

    /** Assumed ratio of a route's target latency to the service time. */
    private static final double TARGET_TO_WORK_RATIO = 3;

    private final CallSettings settings;
    private final InstanceLocation location;
    private final RandomGenerator random;
    private final SelectionPolicy policy;
    private final boolean adaptive;
    private final boolean probesEachCall;
    private final ServiceLoad serviceLoad = new ServiceLoad();
    private final WaitLimit waitLimit = new WaitLimit();
    private final CallVersions versions;
    private final ServerEligibility eligibility;
    private final Map<BackendServerId, ServerState> byId = new HashMap<>();

    private final RemovedServers removed = new RemovedServers();
    private final LeavingServers leavingServers = new LeavingServers();

    private final Candidates eligible = new Candidates();
    private final ExcludedServers excluded;

    private InstanceShare instanceShare;
    private ServerState[] byDistance = new ServerState[0];
    private ServerState[] eligibleStates = new ServerState[0];
    private final int[] tierStart = new int[Distance.values().length + 1];
    private int chosen = -1;

    ServerPool(CallSettings settings, InstanceLocation location, RandomGenerator random) {
        this(settings, location, ServiceVersions.UNRESTRICTED, random);
    }

    ServerPool(
            CallSettings settings,
            InstanceLocation location,
            ServiceVersions versions,
            RandomGenerator random) {
        this.settings = settings;
        this.location = location;
        this.random = random;
        this.excluded = new ExcludedServers(random);
        this.policy = SelectionPolicy.of(settings.policy());
        this.adaptive = settings.policy().isAdaptive();
        this.probesEachCall = settings.policy() == PolicyName.PROBED;
        this.versions = new CallVersions(versions);
        this.eligibility = new ServerEligibility(this.versions, settings.policy());
        this.instanceShare = new InstanceShare(settings.instances(), true);
    }

    /** Updates the number of instances and all limits that depend on it. */
    void setInstanceShare(InstanceShare newShare) {
        instanceShare = newShare;
        for (ServerState state : byDistance) {
            state.setInstanceShare(newShare);
        }
    }

    /**
     * Applies the configured servers. The state of removed servers remains reachable from their
     * open tries.
     *
     * @param firstConfig whether this is the first configuration since the process started, so that
     *     it is unknown which servers are new
     */
    void configure(
            List<BackendServer> servers, ConfigSet config, boolean firstConfig, long nowNanos) {
        Map<BackendServerId, ServerState> previous = new HashMap<>(byId);
        byId.clear();
        for (BackendServer server : servers) {
            FailureDomain domain = config.failureDomains().get(server.failureDomain());
            ServerState known = previous.remove(server.id());
            boolean wasInService = known != null && known.isInService();
            if (known == null) {
                known = removed.takeBack(server.id());
            }
            if (known != null && known.server.incarnation() != server.incarnation()) {
                removed.addRestarted(known);
                known = null;
                wasInService = false;
            }
            ServerState state =
                    known == null ? new ServerState(serviceLoad, random, nowNanos) : known;
            state.configure(server, domain, location.distanceTo(domain), instanceShare);
            state.leaving |= leavingServers.isLeaving(server, nowNanos);
            if (known == null && firstConfig) {
                state.warmUp.startProbablyWarm();
            } else if (!wasInService && state.isInService()) {
                state.warmUp.startCold(warmUpPauseNanos(state, nowNanos), nowNanos);
                state.startColdPeriod(nowNanos);
            }
            byId.put(server.id(), state);
        }
        removed.add(previous, nowNanos);
        leavingServers.expire(nowNanos);
        byDistance = byId.values().toArray(ServerState[]::new);
        Comparator<ServerState> nearestFirst = Comparator.comparing(state -> state.load.distance());
        Arrays.sort(byDistance, nearestFirst.thenComparing(state -> state.server.id()));
        eligibleStates = new ServerState[byDistance.length];
        for (Distance distance : Distance.values()) {
            int end = tierStart[distance.ordinal()];
            while (end < byDistance.length && byDistance[end].load.distance() == distance) {
                end++;
            }
            tierStart[distance.ordinal() + 1] = end;
        }
    }

    /** Remembers for the life of the incarnation that a server has said that it will end. */
    void markLeaving(ServerState state, long nowNanos) {
        state.leaving = true;
        leavingServers.add(state.server, nowNanos);
    }

    /**
     * Selects a server for the next try of a call. The candidates are kept until the next call of
     * this method, for {@link #snapshot} and the methods about the chosen server.
     *
     * @return the server, or null if none is eligible
     */
    ServerState choose(CallState call, long nowNanos) {
        versions.assign(call);
        collect(call, nowNanos);
        if (eligible.size() == 0 && versions.fallBack(call)) {
            collect(call, nowNanos);
        }
        if (eligible.size() == 0) {
            return null;
        }
        chosen = policy.choose(eligible, nowNanos, random);
        return eligibleStates[chosen];
    }

    /**
     * Selects a server like {@link #choose}, but prefers those that have reported recently or would
     * not get a call too many if they were cold by now.
     */
    ServerState chooseWithinColdLimit(CallState call, long nowNanos) {
        ServerState any = choose(call, nowNanos);
        if (any == null || !mayExceedColdLimit(any, nowNanos)) {
            return any;
        }
        eligibility.setRecentlyReportedOnly(true);
        collect(call, nowNanos);
        eligibility.setRecentlyReportedOnly(false);
        if (eligible.size() == 0) {
            collect(call, nowNanos);
        }
        chosen = policy.choose(eligible, nowNanos, random);
        return eligibleStates[chosen];
    }

    /** Returns whether a call to a server may exceed the limit of a cold one, see there. */
    boolean mayExceedColdLimit(ServerState state, long nowNanos) {
        return eligibility.mayExceedColdLimit(state, nowNanos);
    }

    /**
     * Selects servers to probe, from a random offset, so that probes spread evenly.
     *
     * @param ownRegion true for servers of the own region, false for those of other regions
     * @param maxTargets maximum number of servers
     * @return servers that are eligible for the call
     */
    List<ServerState> probeTargets(
            CallState call, boolean ownRegion, int maxTargets, long nowNanos) {
        versions.assign(call);
        List<ServerState> targets = new ArrayList<>(maxTargets);
        int otherRegionsStart = tierStart[Distance.OTHER_REGION.ordinal()];
        int from = ownRegion ? 0 : otherRegionsStart;
        int size = (ownRegion ? otherRegionsStart : byDistance.length) - from;
        int offset = size > 0 ? random.nextInt(size) : 0;
        for (int i = 0; i < size && targets.size() < maxTargets; i++) {
            ServerState state = byDistance[from + (offset + i) % size];
            if (eligibility.exclusion(state, call, nowNanos) == Exclusion.NONE) {
                targets.add(state);
            }
        }
        return targets;
    }

    /**
     * Returns whether the last choice excluded a server only because it has no capacity now.
     *
     * @return true if waiting may help
     */
    boolean isBusy() {
        return excluded.isBusy();
    }

    /** Returns when servers allow calls that the last choice excluded only by their rate limits. */
    RateLimitWait rateLimitWait() {
        return excluded.rateLimitWait();
    }

    int instances() {
        return instanceShare.instances();
    }

    /** Returns a copy of the candidates of the last choice, the chosen one first. */
    CandidateSnapshot snapshot(long nowNanos) {
        int size = Math.min(CandidateSnapshot.MAX_SIZE, eligible.size() + excluded.size());
        int fromEligible = size - excluded.size();
        CandidateSnapshot snapshot = new CandidateSnapshot(size);
        if (chosen >= 0) {
            putEligible(snapshot, chosen, nowNanos);
        }
        for (int i = 0; i < eligible.size() && snapshot.size() < fromEligible; i++) {
            if (i != chosen) {
                putEligible(snapshot, i, nowNanos);
            }
        }
        excluded.putAll(snapshot, adaptive, nowNanos);
        return snapshot;
    }

    /** Returns this instance's calls in flight, including those to removed servers. */
    int inFlight() {
        int sum = removed.inFlight();
        for (ServerState state : byDistance) {
            sum += state.load.inFlight();
        }
        return sum;
    }

    ServerState find(BackendServerId id) {
        return byId.get(id);
    }

    ServerState[] all() {
        return byDistance;
    }

    /** Returns the part of rollouts in the selection. */
    CallVersions versions() {
        return versions;
    }

    ServiceLoad serviceLoad() {
        return serviceLoad;
    }

    boolean probesEachCall() {
        return probesEachCall;
    }

    /** Derives a first estimate of the service time from the target latencies of the routes. */
    void estimateWork(ConfigSet config, ServiceId service) {
        waitLimit.configure(config, service);
        double targetNanos = waitLimit.shortestTargetNanos();
        if (targetNanos > 0) {
            serviceLoad.expect(targetNanos / TARGET_TO_WORK_RATIO);
        }
    }

    /** Returns whether the chosen server, though busy, is expected to meet the target latency. */
    boolean meetsTarget(CallState call, long nowNanos) {
        double waitedNanos = nowNanos - call.arrivedNanos;
        double targetNanos = NANOS_PER_MILLI * call.route.targetLatencyMillis();
        return waitedNanos + eligible.score(chosen) < EXPECTED_TIME_FRACTION * targetNanos;
    }

    /**
     * Returns whether a call must not be sent to the chosen server, because the response is
     * expected after the deadline or, without a free slot, after the wait limit of the route.
     */
    boolean isTooSlow(CallState call, boolean freeSlot, long nowNanos) {
        double expectedNanos = eligible.score(chosen);
        if (expectedNanos > call.deadlineNanos - nowNanos) {
            return true;
        }
        double waitedNanos = nowNanos - call.arrivedNanos;
        return !freeSlot && waitedNanos + expectedNanos > waitLimit.maxNanos(call);
    }

    /** Returns the randomised delay until the chosen server is expected to have capacity. */
    long retryAfterMillis() {
        double spread = MIN_RETRY_SPREAD + random.nextDouble();
        return Math.max(1, (long) (spread * eligible.score(chosen) / NANOS_PER_MILLI));
    }

    /** Returns when a call for which the last choice found no server returns; 0 if unknown. */
    long replacementMillis() {
        return excluded.replacementMillis();
    }

    boolean isAdaptive() {
        return adaptive;
    }

    /**
     * Returns a random pause between calls to a server in warm-up. On average all instances
     * together send one call in the time that this server needs for one. The mean latency of the
     * service would be too short for a slow server: all instances together would keep it busy, and
     * each of these calls would be slow.
     */
    long warmUpPauseNanos(ServerState state, long nowNanos) {
        double mean = 2.0 * instanceShare.instances() * state.load.latencyNanos(nowNanos);
        return (long) (random.nextDouble() * mean);
    }

    private void putEligible(CandidateSnapshot snapshot, int index, long nowNanos) {
        ServerState state = eligibleStates[index];
        int limit = state.currentLimit(adaptive, nowNanos);
        snapshot.put(state, Exclusion.NONE, eligible.score(index), limit, nowNanos);
    }

    private int reservedForFartherTiers(int tier) {
        int reserved = 0;
        for (int i = tier + 1; i < RESERVED_CANDIDATES.length; i++) {
            reserved += Math.min(RESERVED_CANDIDATES[i], tierStart[i + 1] - tierStart[i]);
        }
        return reserved;
    }

    private void collect(CallState call, long nowNanos) {
        eligible.clear();
        excluded.clear();
        chosen = -1;
        int bound = policy.candidateLimit();
        for (int tier = 0; tier < RESERVED_CANDIDATES.length; tier++) {
            collectTier(tier, bound - reservedForFartherTiers(tier), call, nowNanos);
        }
    }

    private void collectTier(int tier, int bound, CallState call, long nowNanos) {
        int from = tierStart[tier];
        int size = tierStart[tier + 1] - from;
        int offset = size > bound ? random.nextInt(size) : 0;
        for (int i = 0; i < size && eligible.size() < bound; i++) {
            if (i >= SCAN_LIMIT && eligible.size() > 0) {
                return;
            }
            int index = offset + i;
            consider(byDistance[from + (index < size ? index : index - size)], call, nowNanos);
        }
    }

    private void consider(ServerState state, CallState call, long nowNanos) {
        Exclusion exclusion = eligibility.exclusion(state, call, nowNanos);
        if (exclusion == Exclusion.NONE) {
            eligibleStates[eligible.size()] = state;
            eligible.add(state.load);
            return;
        }
        excluded.add(state, exclusion, nowNanos);
    }
}
