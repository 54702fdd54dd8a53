package org.snipeslip.core.call;

import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.snipeslip.core.access.AccessSettings;
import org.snipeslip.core.access.KeyAccess;
import org.snipeslip.core.access.ProofSource;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.idempotency.ClaimDecision;
import org.snipeslip.core.instance.EngineName;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.probe.ProbeBudget;
import org.snipeslip.core.probe.ProbeCounters;
import org.snipeslip.core.rollout.RolloutTable;
import org.snipeslip.core.routing.RouteTable;
import org.snipeslip.core.routing.SplitChooser;
import org.snipeslip.core.suspect.SuspectAnswer;
import org.snipeslip.core.suspect.SuspectPeer;
import org.snipeslip.core.suspect.SuspectTable;

/**
 * State machine of all calls of one instance. Matches an arriving call to a route, applies the
 * home-region filter and passes the call to the shard of its service, which sends it to a backend
 * server and handles the response. Thread-safe; each service has its own lock.
 */
public final class CallEngine {
    private final CallSettings settings;
    private final InstanceLocation location;
    private final SplittableRandom random;
    private final ProbeBudget budget;
    private final SuspectTable suspects;
    private final RolloutTable rollouts;
    private final OpenCalls openCalls = new OpenCalls();
    private final QuotaGate quotaGate;
    private final Detour detour;
    private final ConcurrentHashMap<ServiceId, ServiceShard> shards = new ConcurrentHashMap<>();
    private final CallGate gate;

    /** Null if callers name their organisation, so that there are no keys. */
    private final AccessSettings access;

    private volatile InstanceShare instanceShare;
    private volatile ConfigView view =
            new ConfigView(ConfigSet.EMPTY, new RouteTable(ConfigSet.EMPTY), null, 0);

    /**
     * Creates an engine with no configuration.
     *
     * @param failureDomain the failure domain of this instance, or null if unknown
     * @param seed seed of all random choices; equal seeds and events give equal decisions
     */
    public CallEngine(
            CallSettings settings, RegionId region, FailureDomainId failureDomain, long seed) {
        this(
                settings,
                region,
                failureDomain,
                new SuspectTable(seed),
                new RolloutTable(null, 0),
                seed);
    }

    /**
     * Creates an engine with no configuration.
     *
     * @param failureDomain the failure domain of this instance, or null if unknown
     * @param suspects the requests under which servers crashed
     * @param rollouts the versions of all services
     * @param seed seed of all random choices; equal seeds and events give equal decisions
     */
    public CallEngine(
            CallSettings settings,
            RegionId region,
            FailureDomainId failureDomain,
            SuspectTable suspects,
            RolloutTable rollouts,
            long seed) {
        this(
                settings,
                region,
                failureDomain,
                suspects,
                rollouts,
                null,
                version -> ProofSource.NONE,
                seed);
    }

    /**
     * Creates an engine with no configuration.
     *
     * @param failureDomain the failure domain of this instance, or null if unknown
     * @param suspects the requests under which servers crashed
     * @param rollouts the versions of all services
     * @param access how fresh the configuration must be for calls with an API key, or null if
     *     callers have none
     * @param proof tells since when the configuration is known to be the newest one
     * @param seed seed of all random choices; equal seeds and events give equal decisions
     */
    public CallEngine(
            CallSettings settings,
            RegionId region,
            FailureDomainId failureDomain,
            SuspectTable suspects,
            RolloutTable rollouts,
            AccessSettings access,
            ProofSource proof,
            long seed) {
        this.access = access;
        this.gate = new CallGate(settings, region, proof);
        this.rollouts = rollouts;
        this.suspects = suspects;
        this.settings = settings;
        this.location = new InstanceLocation(region, failureDomain);
        this.random = new SplittableRandom(seed);
        this.budget = new ProbeBudget(settings.probeSettings());
        this.instanceShare = new InstanceShare(settings.instances(), true);
        this.detour = new Detour(settings, region, openCalls, new SplittableRandom(seed + 2));
        SplitChooser splitChooser = new SplitChooser(new SplittableRandom(seed + 1));
        CallSubmission submission =
                new CallSubmission(settings, detour, openCalls, shards, splitChooser);
        this.quotaGate = new QuotaGate(openCalls, submission);
    }

    /**
     * Applies a new configuration. The state of a service that it no longer contains is dropped
     * when no call of the service is open.
     *
     * @param nowNanos current time of the monotonic clock
     * @param outbox receives the resulting actions
     */
    public void configure(ConfigSet config, long nowNanos, Outbox outbox) {
        configure(config, config.generation().number(), nowNanos, outbox);
    }

    /**
     * Applies a new configuration, like {@link #configure(ConfigSet, long, Outbox)}.
     *
     * @param version its version, which other instances know it by
     * @param nowNanos current time of the monotonic clock
     * @param outbox receives the resulting actions
     */
    public synchronized void configure(
            ConfigSet config, long version, long nowNanos, Outbox outbox) {
        boolean firstConfig = view.config().generation().number() == 0;
        // Sorted by name, because all new shards split their seeds off one generator, and equal
        // seeds must give equal decisions.
        for (ServiceId service : new TreeSet<>(config.services().keySet())) {
            shards.computeIfAbsent(service, this::newShard);
        }
        rollouts.configure(config);
        shards.values().forEach(shard -> shard.configure(config, firstConfig, nowNanos, outbox));
        KeyAccess keyAccess = access == null ? null : new KeyAccess(access, config, version);
        view = new ConfigView(config, new RouteTable(config), keyAccess, version);
        detour.configure(config, version);
        shards.entrySet()
                .removeIf(
                        entry ->
                                !config.services().containsKey(entry.getKey())
                                        && entry.getValue().isIdle());
    }

    /**
     * Updates the number of instances that share the limits of backend servers and the budgets.
     * Applies to all current and future services.
     *
     * @param share the number of instances, this one included, and the position of this one
     */
    public synchronized void setInstanceShare(InstanceShare share) {
        instanceShare = share;
        rollouts.setInstances(share.instances());
        shards.values().forEach(shard -> shard.setInstanceShare(share));
    }

    /**
     * Replaces the other instances, to which calls can be passed.
     *
     * @param others instances with an address
     */
    public void setPeers(List<SuspectPeer> others) {
        detour.setPeers(others);
    }

    /**
     * Returns the gate that admits calls within the quota of their organisation.
     *
     * @return the gate, open until quotas are switched on
     */
    public QuotaGate quotaGate() {
        return quotaGate;
    }

    /**
     * Returns whether another instance may pass calls to this one.
     *
     * @param version version of the configuration that is needed
     * @return false if this instance reaches no backend server, or has an older version
     */
    public boolean acceptsPassedCalls(long version) {
        return view.version() >= version && !isCutOff();
    }

    /**
     * Returns whether this instance reaches no backend server.
     *
     * @return true if calls are passed to other instances
     */
    public boolean isCutOff() {
        return detour.isCutOff();
    }

    /**
     * Continues a call with an idempotency key after the decision on its claim. Decisions on calls
     * that are no longer open are ignored.
     *
     * @param nowNanos current time of the monotonic clock
     * @param outbox receives the resulting actions
     */
    public void claimDecided(ClaimDecision decision, long nowNanos, Outbox outbox) {
        owner(decision.request()).claimDecided(decision, nowNanos, outbox);
    }

    /**
     * Continues a call after the answer of an instance of its home regions.
     *
     * @param answer whether the call may be sent
     * @param nowNanos current time of the monotonic clock
     * @param outbox receives the resulting actions
     */
    public void suspicionAnswered(SuspectAnswer answer, long nowNanos, Outbox outbox) {
        openCalls.ownerOf(answer.request()).suspicionAnswered(answer, nowNanos, outbox);
    }

    /**
     * Returns whether a try may be sent now. Its server may have left service since the try was
     * decided.
     *
     * @param tryId the try, as in {@link org.snipeslip.core.instance.Action.SendTry}
     * @return false if the try must end with {@link TryFailure#SERVER_LEFT}
     */
    public boolean maySend(TryId tryId) {
        return openCalls.ownerOf(tryId.request()).maySend(tryId);
    }

    /**
     * Returns the number of calls that a shard accepted and that have no complete answer yet.
     *
     * @return the number of open calls
     */
    public int openCalls() {
        return openCalls.size();
    }

    int inFlight() {
        return shards.values().stream().mapToInt(ServiceShard::inFlight).sum();
    }

    /**
     * Ends every open call when the time limit of a planned stop is reached. Calls without a
     * response are refused with the outcome that applies to them; a response that is being relayed
     * is cut off.
     *
     * @param nowNanos current time of the monotonic clock
     * @param outbox receives the resulting actions
     */
    public void abort(long nowNanos, Outbox outbox) {
        shards.values().forEach(shard -> shard.abort(nowNanos, outbox));
        detour.abort(outbox);
        quotaGate.abort(outbox);
    }

    /**
     * Returns the counters of the probe budget, which all services share.
     *
     * @return the counters
     */
    public ProbeCounters probeCounters() {
        return budget.counters();
    }

    /**
     * Handles an event. Events of other engines and of calls that are no longer open are ignored.
     *
     * @param nowNanos current time of the monotonic clock
     * @param outbox receives the resulting actions
     */
    public void handle(Event event, long nowNanos, Outbox outbox) {
        switch (event) {
            case Event.CallArrived e -> arrive(e, nowNanos, outbox);
            case Event.TryAnswered e ->
                    owner(e.tryId().request())
                            .answered(e.tryId(), e.status(), e.load(), nowNanos, outbox);
            case Event.TryCompleted e ->
                    owner(e.tryId().request())
                            .completed(e.tryId(), e.recordable(), nowNanos, outbox);
            case Event.TryFailed e ->
                    owner(e.tryId().request())
                            .failed(e.tryId(), e.failure(), e.load(), nowNanos, outbox);
            case Event.CallerDisconnected e ->
                    owner(e.request()).callerDisconnected(e.request(), nowNanos, outbox);
            case Event.RequestRead e ->
                    owner(e.request()).requestRead(e.request(), e.partlySent(), nowNanos, outbox);
            case Event.ServerChecked e ->
                    onShard(
                            e.service(),
                            shard ->
                                    shard.serverChecked(
                                            e.backendServer(), e.presence(), nowNanos, outbox));
            case Event.TimerFired e when e.timer().owner() == EngineName.DETOUR ->
                    detour.timerFired(nowNanos, outbox);
            case Event.LinkTested e when e.reached() ->
                    detour.serverAnswered(e.target().id(), nowNanos, outbox);
            case Event.LinkTested e -> detour.serverUnreachable(e.target(), nowNanos, outbox);
            case Event.DetourAnswered e -> detour.peerAnswered(e.address(), e.willing(), nowNanos);
            case Event.TimerFired e when e.timer().owner() == EngineName.CALL ->
                    onShard(new ServiceId(e.timer().key()), s -> s.timerFired(nowNanos, outbox));
            case Event.ProbeAnswered e ->
                    onShard(
                            e.service(),
                            shard ->
                                    shard.probeAnswered(
                                            e.backendServer(),
                                            e.load(),
                                            e.sizeBytes(),
                                            nowNanos,
                                            outbox));
            case Event.ProbeFailed e ->
                    onShard(
                            e.service(),
                            shard -> shard.probeFailed(e.backendServer(), nowNanos, outbox));
            default -> {
                // Handled by another engine.
            }
        }
    }

    private CallOwner owner(RequestId request) {
        return openCalls.ownerOf(request);
    }

    private void onShard(ServiceId service, Consumer<ServiceShard> use) {
        ServiceShard shard = shards.get(service);
        if (shard != null) {
            use.accept(shard);
        }
    }

    private ServiceShard newShard(ServiceId service) {
        ServiceShard shard =
                new ServiceShard(
                        service,
                        settings,
                        location,
                        openCalls,
                        budget,
                        suspects,
                        detour,
                        rollouts.of(service),
                        random.split());
        shard.setInstanceShare(instanceShare);
        return shard;
    }

    private void arrive(Event.CallArrived arrived, long nowNanos, Outbox outbox) {
        CallHead head = arrived.head();
        if (head.handover() != null && !acceptsPassedCalls(head.handover().version())) {
            EarlyRefusal.ofPassedCall(arrived.request(), detour.isCutOff(), outbox);
            return;
        }
        CallGate.Admission admission = gate.check(arrived, view, nowNanos, outbox);
        if (admission != null) {
            ArrivedCall call =
                    new ArrivedCall(
                            arrived,
                            admission.route(),
                            admission.organisation(),
                            admission.homeRegions(),
                            nowNanos);
            quotaGate.arrived(call, nowNanos, outbox);
        }
    }
}
