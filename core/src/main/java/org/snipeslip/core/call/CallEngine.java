package org.snipeslip.core.call;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.Organisation;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.EngineName;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.measure.MeasureCounters;
import org.snipeslip.core.measure.MeasurementBudget;
import org.snipeslip.core.once.ClaimDecision;
import org.snipeslip.core.routing.HomeRegions;
import org.snipeslip.core.routing.RouteTable;
import org.snipeslip.core.routing.SplitChooser;

/**
 * Takes a call from its arrival to its answer: route, home-region filter, then the shard of the
 * service. May be called by several threads; each service has its own lock.
 */
public final class CallEngine {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Time that a started instance usually takes to read its configuration. */
    private static final long START_MILLIS = 300;

    private final CallSettings settings;
    private final InstancePlace place;
    private final SplittableRandom random;
    private final MeasurementBudget budget;
    private final OpenCalls openCalls = new OpenCalls();
    private final ConcurrentHashMap<ServiceId, ServiceShard> shards = new ConcurrentHashMap<>();
    private final SplitChooser splits;

    private volatile FleetShare fleet;
    private volatile View view = new View(ConfigSet.EMPTY, new RouteTable(ConfigSet.EMPTY));

    /**
     * Creates an engine with no configuration.
     *
     * @param settings its settings
     * @param region the region of this instance
     * @param failureDomain the failure domain of this instance, or null if unknown
     * @param seed seed of the random choices
     */
    public CallEngine(
            CallSettings settings, RegionId region, FailureDomainId failureDomain, long seed) {
        this.settings = settings;
        this.place = new InstancePlace(region, failureDomain);
        this.random = new SplittableRandom(seed);
        this.budget = new MeasurementBudget(settings.measure());
        this.splits = new SplitChooser(new SplittableRandom(seed + 1));
        this.fleet = new FleetShare(settings.instances(), 0);
    }

    /**
     * Puts a configuration in force.
     *
     * @param config the configuration
     * @param nowNanos the time
     * @param outbox takes the actions
     */
    public synchronized void configure(ConfigSet config, long nowNanos, Outbox outbox) {
        boolean firstConfig = view.config.generation().number() == 0;
        // In order of names, because each new shard takes its seed from the same source.
        for (ServiceId service : new TreeSet<>(config.services().keySet())) {
            shards.computeIfAbsent(service, this::newShard);
        }
        shards.values().forEach(shard -> shard.configure(config, firstConfig, nowNanos, outbox));
        view = new View(config, new RouteTable(config));
        shards.entrySet()
                .removeIf(
                        entry ->
                                !config.services().containsKey(entry.getKey())
                                        && entry.getValue().isIdle());
    }

    /**
     * Takes the number of instances that share the limits of backend servers and budgets.
     *
     * @param share the instances, this one included
     */
    public synchronized void fleet(FleetShare share) {
        fleet = share;
        shards.values().forEach(shard -> shard.fleet(share));
    }

    /**
     * Takes the decision on a claim of a keyed call.
     *
     * @param decision the decision
     * @param nowNanos the time
     * @param outbox takes the actions
     */
    public void claimDecided(ClaimDecision decision, long nowNanos, Outbox outbox) {
        ServiceShard shard = openCalls.shardOf(decision.request());
        if (shard != null) {
            shard.claimDecided(decision, nowNanos, outbox);
        }
    }

    /**
     * Counts the open calls.
     *
     * @return the number of calls without a complete answer
     */
    public int openCalls() {
        return openCalls.size();
    }

    /** Counts the tries in flight of all services. */
    int inFlight() {
        return shards.values().stream().mapToInt(ServiceShard::inFlight).sum();
    }

    /**
     * Gives every open call the answer that is true for it, at the limit of a planned stop.
     *
     * @param nowNanos the time
     * @param outbox takes the actions
     */
    public void abort(long nowNanos, Outbox outbox) {
        shards.values().forEach(shard -> shard.abort(nowNanos, outbox));
    }

    /**
     * Reads the counters of the measurement budget.
     *
     * @return the counters
     */
    public MeasureCounters measureCounters() {
        return budget.counters();
    }

    /**
     * Takes an event of a call.
     *
     * @param event the event; events of other engines are ignored
     * @param nowNanos the time
     * @param outbox takes the actions
     */
    public void handle(Event event, long nowNanos, Outbox outbox) {
        switch (event) {
            case Event.CallArrived e -> arrive(e, nowNanos, outbox);
            case Event.TryAnswered e -> answered(e, nowNanos, outbox);
            case Event.TryCompleted e -> completed(e, nowNanos, outbox);
            case Event.TryFailed e -> failed(e, nowNanos, outbox);
            case Event.CallerGone e -> {
                ServiceShard shard = openCalls.shardOf(e.request());
                if (shard != null) {
                    shard.callerGone(e.request(), nowNanos, outbox);
                }
            }
            case Event.TimerFired e when e.timer().owner() == EngineName.CALL -> {
                ServiceShard shard = shards.get(new ServiceId(e.timer().key()));
                if (shard != null) {
                    shard.timerFired(nowNanos, outbox);
                }
            }
            case Event.ProbeAnswered e -> {
                ServiceShard shard = shards.get(e.service());
                if (shard != null) {
                    shard.probeAnswered(
                            e.backendServer(), e.load(), e.sizeBytes(), nowNanos, outbox);
                }
            }
            case Event.ProbeFailed e -> {
                ServiceShard shard = shards.get(e.service());
                if (shard != null) {
                    shard.probeFailed(e.backendServer(), nowNanos, outbox);
                }
            }
            default -> {
                // Events of the other engines.
            }
        }
    }

    private ServiceShard newShard(ServiceId service) {
        ServiceShard shard =
                new ServiceShard(service, settings, place, openCalls, budget, random.split());
        shard.fleet(fleet);
        return shard;
    }

    private void answered(Event.TryAnswered event, long nowNanos, Outbox outbox) {
        ServiceShard shard = openCalls.shardOf(event.tryId().request());
        if (shard != null) {
            shard.answered(event.tryId(), event.status(), event.load(), nowNanos, outbox);
        }
    }

    private void completed(Event.TryCompleted event, long nowNanos, Outbox outbox) {
        ServiceShard shard = openCalls.shardOf(event.tryId().request());
        if (shard != null) {
            shard.completed(event.tryId(), event.recordable(), nowNanos, outbox);
        }
    }

    private void failed(Event.TryFailed event, long nowNanos, Outbox outbox) {
        ServiceShard shard = openCalls.shardOf(event.tryId().request());
        if (shard != null) {
            shard.failed(event.tryId(), event.failure(), event.load(), nowNanos, outbox);
        }
    }

    private void arrive(Event.CallArrived arrived, long nowNanos, Outbox outbox) {
        View current = view;
        CallHead head = arrived.head();
        Optional<Route> matched = current.routes.match(head.host(), head.path(), head.method());
        if (matched.isEmpty()) {
            boolean ready = current.config.generation().number() > 0;
            RefusalReason reason = ready ? RefusalReason.NO_ROUTE : RefusalReason.NOT_READY;
            long retryMillis = ready ? 0 : START_MILLIS;
            refuse(arrived.request(), null, Refusal.notRun(reason, retryMillis), outbox);
            return;
        }
        Route route = matched.get();
        // Before the look at the organisation: its refusal is recorded, which is not allowed here.
        HomeRegions ofRoute = HomeRegions.of(route, null);
        if (!mayTake(ofRoute)) {
            refuseOutside(arrived.request(), ofRoute.regions(), outbox);
            return;
        }
        Organisation organisation = null;
        if (head.organisation() != null) {
            organisation = current.config.organisations().get(head.organisation());
            if (organisation == null) {
                refuse(
                        arrived.request(),
                        route,
                        Refusal.notRun(RefusalReason.UNKNOWN_ORGANISATION),
                        outbox);
                return;
            }
        }
        HomeRegions homeRegions = HomeRegions.of(route, organisation);
        if (!mayTake(homeRegions)) {
            refuseOutside(arrived.request(), homeRegions.regions(), outbox);
            return;
        }
        if (head.depth() > settings.maxDepth()) {
            refuse(arrived.request(), route, Refusal.notRun(RefusalReason.TOO_DEEP), outbox);
            return;
        }
        submit(arrived, route, organisation, homeRegions, nowNanos, outbox);
    }

    private boolean mayTake(HomeRegions homeRegions) {
        return settings.relaysFromOutside() || homeRegions.allows(place.region());
    }

    private void submit(
            Event.CallArrived arrived,
            Route route,
            Organisation organisation,
            HomeRegions homeRegions,
            long nowNanos,
            Outbox outbox) {
        CallHead head = arrived.head();
        long limitNanos = route.deadlineMillis() * NANOS_PER_MILLI;
        long remainingNanos =
                head.remainingNanos() > 0
                        ? Math.min(head.remainingNanos(), limitNanos)
                        : limitNanos;
        CallState call =
                new CallState(
                        arrived.request(),
                        head,
                        route,
                        homeRegions,
                        organisation == null ? 1 : organisation.weight(),
                        nowNanos,
                        nowNanos + remainingNanos);
        int retries = (route.maxTries() > 0 ? route.maxTries() : settings.maxTries()) - 1;
        call.retriesLeft =
                head.retriesLeft() >= 0 ? Math.min(head.retriesLeft(), retries) : retries;
        ServiceShard shard = shards.get(splits.choose(route));
        if (shard == null) {
            // A newer configuration removed the service meanwhile.
            Refusal refusal = Refusal.notRun(RefusalReason.NO_BACKEND_SERVER);
            refuse(arrived.request(), route, refusal, outbox);
            return;
        }
        openCalls.add(arrived.request(), shard);
        shard.arrive(call, nowNanos, outbox);
    }

    /** Leaves no decision record: nothing of the call may be kept outside its home regions. */
    private static void refuseOutside(RequestId request, Set<RegionId> regions, Outbox outbox) {
        Refusal refusal =
                new Refusal(RefusalReason.OUTSIDE_HOME_REGIONS, Outcome.NOT_RUN, false, 0, regions);
        outbox.add(new Action.RefuseCaller(request, refusal));
    }

    private static void refuse(RequestId request, Route route, Refusal refusal, Outbox outbox) {
        outbox.add(new Action.RefuseCaller(request, refusal));
        outbox.add(
                new Action.RecordDecision(
                        new DecisionRecord(
                                request,
                                DecisionRecord.Kind.REFUSED,
                                route == null ? null : route.id(),
                                route == null ? null : route.service(),
                                0,
                                null,
                                refusal,
                                List.of())));
    }

    /** A configuration and the tables derived from it, replaced together. */
    private record View(ConfigSet config, RouteTable routes) {}
}
