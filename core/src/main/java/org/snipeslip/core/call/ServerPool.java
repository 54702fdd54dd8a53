package org.snipeslip.core.call;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.snipeslip.core.call.DecisionRecord.Exclusion;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.FailureDomain;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.load.Distance;
import org.snipeslip.core.load.ServiceLoad;
import org.snipeslip.core.selection.Candidates;
import org.snipeslip.core.selection.PolicyName;
import org.snipeslip.core.selection.SelectionPolicy;

/** The backend servers of one service and the choice among them. Guarded by the shard's lock. */
final class ServerPool {
    /**
     * Places kept for each distance when there are more servers than candidates, so that nearer
     * servers never hide farther ones.
     */
    private static final int[] RESERVED = {12, 8, 4};

    /** Servers looked at per distance once a candidate is found. */
    private static final int SCAN_LIMIT = 96;

    private static final int MAX_EXCLUDED = 4;
    private static final double NANOS_PER_MILLI = 1e6;

    /** Refused callers come back spread from half the expected time to one and a half of it. */
    private static final double RETRY_SPREAD_LEAST = 0.5;

    /** Expected times are means; the rest of the target is room for their spread. */
    private static final double IN_TIME_PART = 0.75;

    /** A target leaves room for about this many times the work itself. */
    private static final double WORK_PER_TARGET = 3;

    private final CallSettings settings;
    private final InstancePlace place;
    private final RandomGenerator random;
    private final SelectionPolicy policy;
    private final boolean adaptive;
    private final boolean probed;
    private final ServiceLoad serviceLoad = new ServiceLoad();
    private final WaitTolerance tolerance = new WaitTolerance();
    private final Map<BackendServerId, ServerState> byId = new HashMap<>();

    /** Removed servers with calls in flight, which count again if the server is added again. */
    private final Map<BackendServerId, ServerState> detached = new HashMap<>();

    /** Earlier starts of servers that started again under their name, with calls in flight. */
    private final List<ServerState> restarted = new ArrayList<>(0);

    private final Candidates eligible = new Candidates();
    private final ServerState[] excluded = new ServerState[MAX_EXCLUDED];
    private final Exclusion[] exclusions = new Exclusion[MAX_EXCLUDED];

    private FleetShare fleet;
    private ServerState[] byDistance = new ServerState[0];
    private ServerState[] eligibleStates = new ServerState[0];
    private final int[] tierStart = new int[Distance.values().length + 1];
    private int excludedCount;
    private boolean busy;
    private int chosen = -1;

    ServerPool(CallSettings settings, InstancePlace place, RandomGenerator random) {
        this.settings = settings;
        this.place = place;
        this.random = random;
        this.policy = SelectionPolicy.of(settings.policy());
        this.adaptive = settings.policy().isAdaptive();
        this.probed = settings.policy() == PolicyName.PROBED;
        this.fleet = new FleetShare(settings.instances(), 0);
    }

    /** Takes the number of instances; the limits that depend on it follow. */
    void fleet(FleetShare newFleet) {
        fleet = newFleet;
        for (ServerState state : byDistance) {
            state.fleet(newFleet);
        }
    }

    /**
     * Takes the configured servers. Removed ones stay reachable from their open tries.
     *
     * @param firstConfig whether the process just started and cannot know which servers are new
     */
    void configure(
            List<BackendServer> servers, ConfigSet config, boolean firstConfig, long nowNanos) {
        Map<BackendServerId, ServerState> before = new HashMap<>(byId);
        byId.clear();
        for (BackendServer server : servers) {
            FailureDomain domain = config.failureDomains().get(server.failureDomain());
            ServerState known = before.remove(server.id());
            if (known != null && known.server.incarnation() != server.incarnation()) {
                detachRestarted(known);
                known = null;
            }
            boolean wasInService = known != null && known.isInService();
            if (known == null) {
                known = detached.remove(server.id());
            }
            ServerState state = known == null ? new ServerState(serviceLoad) : known;
            state.configure(server, domain, place.distanceTo(domain), fleet);
            if (known == null && firstConfig) {
                state.warmUp.startProbablyWarm();
            } else if (!wasInService && state.isInService()) {
                state.warmUp.startCold(warmUpPauseNanos(state, nowNanos), nowNanos);
                state.startCold(nowNanos);
            }
            byId.put(server.id(), state);
        }
        detached.putAll(before);
        detached.values().removeIf(state -> state.load.inFlight() == 0);
        byDistance = byId.values().toArray(ServerState[]::new);
        Comparator<ServerState> near = Comparator.comparing(state -> state.load.distance());
        Arrays.sort(byDistance, near.thenComparing(state -> state.server.id()));
        eligibleStates = new ServerState[byDistance.length];
        for (Distance distance : Distance.values()) {
            int next = tierStart[distance.ordinal()];
            while (next < byDistance.length && byDistance[next].load.distance() == distance) {
                next++;
            }
            tierStart[distance.ordinal() + 1] = next;
        }
    }

    /** Keeps the calls in flight of a server that started again under its name. */
    private void detachRestarted(ServerState old) {
        if (old.load.inFlight() > 0) {
            restarted.removeIf(state -> state.load.inFlight() == 0);
            restarted.add(old);
        }
    }

    /**
     * Chooses a server for the next try of a call; its candidates stay until the next choice.
     *
     * @return the server, or null if none is eligible
     */
    ServerState choose(CallState call, long nowNanos) {
        eligible.clear();
        excludedCount = 0;
        busy = false;
        chosen = -1;
        int bound = policy.candidateLimit();
        for (int tier = 0; tier < RESERVED.length; tier++) {
            collect(tier, bound - reservedBeyond(tier), call, nowNanos);
        }
        if (eligible.size() == 0) {
            return null;
        }
        chosen = policy.choose(eligible, nowNanos, random);
        return eligibleStates[chosen];
    }

    /**
     * Chooses servers to ask for their load, at random, so that all are asked equally often.
     *
     * @param near true for servers of the own region, false for those of other regions
     * @param most servers at most
     * @return servers that may take the call
     */
    List<ServerState> probeTargets(CallState call, boolean near, int most, long nowNanos) {
        List<ServerState> targets = new ArrayList<>(most);
        int farStart = tierStart[Distance.OTHER_REGION.ordinal()];
        int from = near ? 0 : farStart;
        int size = (near ? farStart : byDistance.length) - from;
        int offset = size > 0 ? random.nextInt(size) : 0;
        for (int i = 0; i < size && targets.size() < most; i++) {
            ServerState state = byDistance[from + (offset + i) % size];
            if (exclusion(state, call, nowNanos) == Exclusion.NONE) {
                targets.add(state);
            }
        }
        return targets;
    }

    /**
     * Tells whether the last choice failed only because servers have no room now.
     *
     * @return true if waiting may help
     */
    boolean isBusy() {
        return busy;
    }

    /** Copies the candidates of the last choice, the chosen one first. */
    CandidateSnapshot snapshot(long nowNanos) {
        int size = Math.min(CandidateSnapshot.MAX_SIZE, eligible.size() + excludedCount);
        int fromEligible = size - excludedCount;
        CandidateSnapshot snapshot = new CandidateSnapshot(size);
        if (chosen >= 0) {
            putEligible(snapshot, chosen, nowNanos);
        }
        for (int i = 0; i < eligible.size() && snapshot.size() < fromEligible; i++) {
            if (i != chosen) {
                putEligible(snapshot, i, nowNanos);
            }
        }
        for (int i = 0; i < excludedCount; i++) {
            int limit = excluded[i].limitNow(adaptive, nowNanos);
            snapshot.put(excluded[i], exclusions[i], -1, limit, nowNanos);
        }
        return snapshot;
    }

    /** Counts the own calls in flight, those to removed servers included. */
    int inFlight() {
        int sum = 0;
        for (ServerState state : byDistance) {
            sum += state.load.inFlight();
        }
        for (ServerState state : detached.values()) {
            sum += state.load.inFlight();
        }
        for (ServerState state : restarted) {
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

    ServiceLoad serviceLoad() {
        return serviceLoad;
    }

    boolean isProbed() {
        return probed;
    }

    /** Takes the time that the routes of a service ask for as a first guess of its work. */
    void expectWork(Collection<Route> routes, ServiceId service) {
        tolerance.configure(routes, service);
        double targetNanos = tolerance.shortestTargetNanos();
        if (targetNanos > 0) {
            serviceLoad.expect(targetNanos / WORK_PER_TARGET);
        }
    }

    /** Tells whether the chosen server, though full, would answer well within the target. */
    boolean isInTime(CallState call, long nowNanos) {
        double waitedNanos = nowNanos - call.arrivedNanos;
        double targetNanos = NANOS_PER_MILLI * call.route.targetLatencyMillis();
        return waitedNanos + eligible.score(chosen) < IN_TIME_PART * targetNanos;
    }

    /** Tells whether the chosen server would answer a call too late for it to be sent. */
    boolean isTooLate(CallState call, boolean freeSlot, long nowNanos) {
        double expectedNanos = eligible.score(chosen);
        if (expectedNanos > call.deadlineNanos - nowNanos) {
            return true;
        }
        double waitedNanos = nowNanos - call.arrivedNanos;
        return !freeSlot && waitedNanos + expectedNanos > tolerance.nanos(call.route);
    }

    /** Returns when a full server will have room, at random around that time. */
    long retryMillis() {
        double spread = RETRY_SPREAD_LEAST + random.nextDouble();
        return Math.max(1, (long) (spread * eligible.score(chosen) / NANOS_PER_MILLI));
    }

    boolean isAdaptive() {
        return adaptive;
    }

    /**
     * On average one call of all instances together in the time that this server needs for one. The
     * mean of the service would be too short for a straggler: all instances together would keep it
     * busy and each of these calls would be slow.
     */
    long warmUpPauseNanos(ServerState state, long nowNanos) {
        double mean = 2.0 * fleet.instances() * state.load.latencyNanos(nowNanos);
        return (long) (random.nextDouble() * mean);
    }

    private void putEligible(CandidateSnapshot snapshot, int index, long nowNanos) {
        ServerState state = eligibleStates[index];
        int limit = state.limitNow(adaptive, nowNanos);
        snapshot.put(state, Exclusion.NONE, eligible.score(index), limit, nowNanos);
    }

    private int reservedBeyond(int tier) {
        int reserved = 0;
        for (int i = tier + 1; i < RESERVED.length; i++) {
            reserved += Math.min(RESERVED[i], tierStart[i + 1] - tierStart[i]);
        }
        return reserved;
    }

    private void collect(int tier, int bound, CallState call, long nowNanos) {
        int from = tierStart[tier];
        int size = tierStart[tier + 1] - from;
        int offset = size > bound ? random.nextInt(size) : 0;
        for (int i = 0; i < size && eligible.size() < bound; i++) {
            if (i >= SCAN_LIMIT && eligible.size() > 0) {
                return;
            }
            int at = offset + i;
            consider(byDistance[from + (at < size ? at : at - size)], call, nowNanos);
        }
    }

    private void consider(ServerState state, CallState call, long nowNanos) {
        Exclusion exclusion = exclusion(state, call, nowNanos);
        if (exclusion == Exclusion.NONE) {
            eligibleStates[eligible.size()] = state;
            eligible.add(state.load);
            return;
        }
        busy |= exclusion == Exclusion.AT_LIMIT;
        if (excludedCount < MAX_EXCLUDED) {
            excluded[excludedCount] = state;
            exclusions[excludedCount++] = exclusion;
        }
    }

    private Exclusion exclusion(ServerState state, CallState call, long nowNanos) {
        if (!call.homeRegions.allows(state.region)) {
            return Exclusion.OUTSIDE_HOME_REGIONS;
        }
        if (!state.failureDomainInService) {
            return Exclusion.FAILURE_DOMAIN_OUT;
        }
        if (state.isDraining()) {
            return Exclusion.DRAINING;
        }
        if (call.wasTriedAt(state)) {
            return Exclusion.ALREADY_TRIED;
        }
        boolean room =
                probed
                        ? state.hasProbedRoom(nowNanos)
                        : state.hasRoom(adaptive, call.route.callClass(), nowNanos);
        return room ? Exclusion.NONE : Exclusion.AT_LIMIT;
    }
}
