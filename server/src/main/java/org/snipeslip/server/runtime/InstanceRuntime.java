package org.snipeslip.server.runtime;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snipeslip.core.call.DecisionRecord;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Instance;
import org.snipeslip.core.instance.TimerId;
import org.snipeslip.core.peer.PeerAddress;
import org.snipeslip.core.peer.PeerMessage;
import org.snipeslip.server.http.CallRelay;
import org.snipeslip.server.store.ObjectApiClient;

/** Carries events into the state machine and its actions out to the shells. Decides nothing. */
public final class InstanceRuntime {
    private static final Logger LOG = LoggerFactory.getLogger(InstanceRuntime.class);

    private final Instance instance;
    private final ObjectApiClient store;
    private final ScheduledExecutorService timers;
    private final Consumer<DecisionRecord> decisions;
    private final BiConsumer<PeerAddress, PeerMessage> peers;
    private final Map<RequestId, CallRelay> relays = new ConcurrentHashMap<>();
    private final Map<TimerId, ScheduledFuture<?>> timersByName = new ConcurrentHashMap<>();

    /**
     * Creates a runtime.
     *
     * @param instance the state machine
     * @param store the object API
     * @param timers runs due timers
     * @param decisions takes decision records; must not block
     * @param peers sends messages to other instances; must not block
     */
    public InstanceRuntime(
            Instance instance,
            ObjectApiClient store,
            ScheduledExecutorService timers,
            Consumer<DecisionRecord> decisions,
            BiConsumer<PeerAddress, PeerMessage> peers) {
        this.instance = instance;
        this.store = store;
        this.timers = timers;
        this.decisions = decisions;
        this.peers = peers;
    }

    /**
     * Takes an event that happened now.
     *
     * @param event the event
     */
    public void handle(Event event) {
        carryOut(instance.handle(event, System.nanoTime()));
    }

    /**
     * Begins a call.
     *
     * @param request names the call
     * @param relay carries its actions
     * @param arrived its first event
     */
    public void begin(RequestId request, CallRelay relay, Event.CallArrived arrived) {
        relays.put(request, relay);
        handle(arrived);
    }

    /**
     * Drops the relay of a call that ended.
     *
     * @param request names the call
     */
    public void forget(RequestId request) {
        relays.remove(request);
    }

    private void carryOut(List<Action> actions) {
        for (Action action : actions) {
            switch (action) {
                case Action.SendTry a -> relay(a.tryId().request(), a);
                case Action.CancelTry a -> relay(a.tryId().request(), a);
                case Action.RelayAnswer a -> relay(a.tryId().request(), a);
                case Action.ReplayAnswer a -> relay(a.request(), a);
                case Action.RefuseCaller a -> relay(a.request(), a);
                case Action.CallStore a ->
                        store.call(
                                a.request(),
                                answer -> handle(new Event.StoreAnswered(a.call(), answer)));
                case Action.SetTimer a -> setTimer(a);
                case Action.RecordDecision a -> decisions.accept(a.decision());
                case Action.ConfigAdopted a ->
                        LOG.info("configuration generation {} in force", a.config().generation());
                case Action.FinishStop a -> LOG.info("planned stop done");
                case Action.SendPeer a -> peers.accept(a.address(), a.message());
                case Action.SendProbe a -> LOG.debug("no probe transport for {}", a.target().id());
            }
        }
    }

    private void relay(RequestId request, Action action) {
        CallRelay relay = relays.get(request);
        if (relay != null) {
            relay.carryOut(action);
        }
    }

    private void setTimer(Action.SetTimer order) {
        ScheduledFuture<?> due =
                timers.schedule(
                        () -> handle(new Event.TimerFired(order.timer())),
                        order.delayNanos(),
                        TimeUnit.NANOSECONDS);
        ScheduledFuture<?> replaced = timersByName.put(order.timer(), due);
        if (replaced != null) {
            replaced.cancel(false);
        }
    }
}
