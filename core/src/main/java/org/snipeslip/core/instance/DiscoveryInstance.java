package org.snipeslip.core.instance;

import java.util.List;
import org.snipeslip.core.call.CallEngine;
import org.snipeslip.core.call.CallSettings;
import org.snipeslip.core.call.FleetShare;
import org.snipeslip.core.call.Refusal;
import org.snipeslip.core.call.RefusalReason;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.discovery.FleetConfig;
import org.snipeslip.core.discovery.FleetEngine;
import org.snipeslip.core.discovery.FleetSettings;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.RegionId;

/**
 * The state machine of an instance whose configuration and backend servers are discovered in a
 * store: {@link FleetEngine} follows the store, {@link CallEngine} takes the calls. It has no peers
 * and keeps no claims.
 */
public final class DiscoveryInstance implements StateMachine {
    /** Callers that come during a stop are sent on; another instance takes them at once. */
    private static final long RETURN_MILLIS = 1;

    private final CallEngine calls;
    private final FleetEngine fleet;
    private final StopSequence stop;
    private volatile ConfigSet inForce = ConfigSet.EMPTY;
    private volatile FleetShare share;

    /**
     * Creates an instance that knows nothing yet.
     *
     * @param settings settings of discovery
     * @param call settings of calls
     * @param region its region
     * @param failureDomain its failure domain
     * @param stopSettings settings of a planned stop
     * @param seed seed of the random choices
     */
    public DiscoveryInstance(
            FleetSettings settings,
            CallSettings call,
            RegionId region,
            FailureDomainId failureDomain,
            StopSettings stopSettings,
            long seed) {
        this.calls = new CallEngine(call, region, failureDomain, seed);
        this.fleet = new FleetEngine(settings, seed + 1);
        this.stop = new StopSequence(stopSettings);
    }

    @Override
    public List<Action> handle(Event event, long nowNanos) {
        Outbox outbox = new Outbox();
        dispatch(event, nowNanos, outbox);
        Object internal;
        while ((internal = outbox.pollInternal()) != null) {
            if (internal instanceof Action.ConfigAdopted adopted) {
                adopt(adopted.config(), nowNanos, outbox);
            }
        }
        if (stop.isStopping()) {
            int open = calls.openCalls();
            if (stop.finish(open == 0)) {
                calls.abort(nowNanos, outbox);
                outbox.add(new Action.FinishStop(open));
            }
        }
        return outbox.actions();
    }

    /**
     * Returns the objects in force.
     *
     * @return the set, {@link ConfigSet#EMPTY} before the first
     */
    public ConfigSet configInForce() {
        return inForce;
    }

    /**
     * Returns the discovered configuration in force.
     *
     * @return the configuration, or null before the first
     */
    public FleetConfig fleetConfig() {
        return fleet.config();
    }

    /**
     * Tells whether the instance takes calls.
     *
     * @return true once all was read, until a stop is requested
     */
    public boolean isReady() {
        return inForce.generation().number() > 0 && !stop.isStopping();
    }

    private void dispatch(Event event, long nowNanos, Outbox outbox) {
        switch (event) {
            case Event.Started e -> fleet.handle(e, nowNanos, outbox);
            case Event.FleetAnswered e -> {
                fleet.handle(e, nowNanos, outbox);
                takeShare();
            }
            case Event.TimerFired e when e.timer().owner() == EngineName.CONTROL ->
                    fleet.handle(e, nowNanos, outbox);
            case Event.TimerFired e when e.timer().owner() == EngineName.INSTANCE -> {
                boolean before = stop.isFinishing();
                stop.timerFired(e.timer());
                if (!before && stop.isFinishing()) {
                    outbox.add(new Action.StopTaking());
                }
            }
            // The time that is left is for the calls that are open; the caller goes elsewhere.
            case Event.CallArrived e when stop.isFinishing() ->
                    outbox.add(
                            new Action.RefuseCaller(
                                    e.request(),
                                    Refusal.notRun(RefusalReason.STOPPING, RETURN_MILLIS)));
            case Event.StopRequested e -> stop.request(outbox);
            default -> calls.handle(event, nowNanos, outbox);
        }
    }

    private synchronized void takeShare() {
        FleetShare next = fleet.share();
        if (!next.equals(share)) {
            share = next;
            calls.fleet(next);
        }
    }

    private synchronized void adopt(ConfigSet config, long nowNanos, Outbox outbox) {
        if (config.generation().isNewerThan(inForce.generation())) {
            calls.configure(config, nowNanos, outbox);
            inForce = config;
        }
    }
}
