package org.snipeslip.core.call;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.Organisation;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.once.ClaimDecision;
import org.snipeslip.core.routing.HomeRegions;
import org.snipeslip.core.routing.RouteTable;

/**
 * Takes a call from its arrival to its answer: route, home-region filter, then the shard of the
 * service. May be called by several threads; each service has its own lock.
 */
public final class CallEngine {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final CallSettings settings;
    private final RegionId region;
    private final SplittableRandom random;
    private final ConcurrentHashMap<ServiceId, ServiceShard> shards = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<RequestId, ServiceShard> shardByCall =
            new ConcurrentHashMap<>();

    private volatile View view = new View(ConfigSet.EMPTY, new RouteTable(ConfigSet.EMPTY));

    /**
     * Creates an engine with no configuration.
     *
     * @param settings its settings
     * @param region the region of this instance
     * @param seed seed of the random choices
     */
    public CallEngine(CallSettings settings, RegionId region, long seed) {
        this.settings = settings;
        this.region = region;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Puts a configuration in force.
     *
     * @param config the configuration
     * @param nowNanos the time
     * @param outbox takes the actions
     */
    public synchronized void configure(ConfigSet config, long nowNanos, Outbox outbox) {
        for (ServiceId service : config.services().keySet()) {
            shards.computeIfAbsent(service, id -> new ServiceShard(id, settings, random.split()));
        }
        shards.values().forEach(shard -> shard.configure(config));
        view = new View(config, new RouteTable(config));
    }

    /**
     * Takes the decision on a claim of a keyed call.
     *
     * @param decision the decision
     * @param nowNanos the time
     * @param outbox takes the actions
     */
    public void claimDecided(ClaimDecision decision, long nowNanos, Outbox outbox) {
        ServiceShard shard = shardByCall.get(decision.request());
        if (shard == null) {
            return;
        }
        shard.claimDecided(decision, nowNanos, outbox);
        if (!shard.holds(decision.request())) {
            shardByCall.remove(decision.request());
        }
    }

    /**
     * Counts the open calls.
     *
     * @return the number of calls without a complete answer
     */
    public int openCalls() {
        return shardByCall.size();
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
            case Event.CallArrived arrived -> arrive(arrived, nowNanos, outbox);
            case Event.TryAnswered answered -> {
                ServiceShard shard = shardByCall.get(answered.tryId().request());
                if (shard != null) {
                    shard.answered(answered.tryId(), answered.load(), nowNanos, outbox);
                }
            }
            case Event.TryCompleted completed -> {
                ServiceShard shard = shardByCall.get(completed.tryId().request());
                if (shard != null && shard.completed(completed.tryId())) {
                    shardByCall.remove(completed.tryId().request());
                }
            }
            case Event.TryFailed failed -> fail(failed, nowNanos, outbox);
            case Event.CallerGone gone -> {
                ServiceShard shard = shardByCall.remove(gone.request());
                if (shard != null) {
                    shard.callerGone(gone.request(), outbox);
                }
            }
            default -> {
                // Events of the other engines.
            }
        }
    }

    private void fail(Event.TryFailed failed, long nowNanos, Outbox outbox) {
        RequestId request = failed.tryId().request();
        ServiceShard shard = shardByCall.get(request);
        if (shard == null) {
            return;
        }
        shard.failed(failed.tryId(), failed.failure(), failed.load(), nowNanos, outbox);
        if (!shard.holds(request)) {
            shardByCall.remove(request);
        }
    }

    private void arrive(Event.CallArrived arrived, long nowNanos, Outbox outbox) {
        View current = view;
        CallHead head = arrived.head();
        Optional<Route> matched = current.routes.match(head.host(), head.path(), head.method());
        if (matched.isEmpty()) {
            boolean ready = current.config.generation().number() > 0;
            RefusalReason reason = ready ? RefusalReason.NO_ROUTE : RefusalReason.NOT_READY;
            refuse(arrived.request(), null, Refusal.notRun(reason), outbox);
            return;
        }
        Route route = matched.get();
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
        if (!homeRegions.allows(region)) {
            refuseOutside(arrived.request(), homeRegions.regions(), outbox);
            return;
        }
        if (head.depth() > settings.maxDepth()) {
            refuse(
                    arrived.request(),
                    route,
                    Refusal.notRun(RefusalReason.DEADLINE_EXCEEDED),
                    outbox);
            return;
        }
        submit(arrived, route, homeRegions, nowNanos, outbox);
    }

    private void submit(
            Event.CallArrived arrived,
            Route route,
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
                        arrived.request(), head, route, homeRegions, nowNanos + remainingNanos);
        call.retriesLeft =
                head.retriesLeft() >= 0
                        ? Math.min(head.retriesLeft(), settings.maxTries() - 1)
                        : settings.maxTries() - 1;
        ServiceShard shard = shards.get(route.service());
        shardByCall.put(arrived.request(), shard);
        shard.arrive(call, nowNanos, outbox);
        if (!shard.holds(arrived.request())) {
            shardByCall.remove(arrived.request());
        }
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
