package org.snipeslip.server.runtime;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snipeslip.core.call.DecisionRecord;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.Service;
import org.snipeslip.core.discovery.FleetAnswer;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.StateMachine;
import org.snipeslip.core.peer.PeerAddress;
import org.snipeslip.core.peer.PeerMessage;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.server.http.CallEvents;
import org.snipeslip.server.http.CallRelay;
import org.snipeslip.server.http.ProbeSender;
import org.snipeslip.server.operator.ServerMetrics;

/** Carries events into the state machine and its actions out to the shells. Decides nothing. */
public final class InstanceRuntime implements CallEvents {
    private static final Logger LOG = LoggerFactory.getLogger(InstanceRuntime.class);

    private final StateMachine instance;
    private final StoreCalls stores;
    private final ProbeSender probes;
    private final Timers timers;
    private final ServerMetrics metrics;
    private final Consumer<DecisionRecord> decisions;
    private final BiConsumer<PeerAddress, PeerMessage> peers;
    private final Runnable onStopTaking;
    private final Consumer<Action.FinishStop> onFinishStop;
    private final Map<RequestId, CallRelay> relays = new ConcurrentHashMap<>();
    private volatile boolean closed;

    InstanceRuntime(
            StateMachine instance,
            StoreCalls stores,
            Function<Consumer<Event>, ProbeSender> probes,
            Timers timers,
            ServerMetrics metrics,
            Consumer<DecisionRecord> decisions,
            BiConsumer<PeerAddress, PeerMessage> peers,
            Runnable onStopTaking,
            Consumer<Action.FinishStop> onFinishStop) {
        this.instance = instance;
        this.stores = stores;
        this.probes = probes.apply(this::handle);
        this.timers = timers;
        this.metrics = metrics;
        this.decisions = decisions;
        this.peers = peers;
        this.onStopTaking = onStopTaking;
        this.onFinishStop = onFinishStop;
    }

    @Override
    public void handle(Event event) {
        if (!closed) {
            carryOut(instance.handle(event, System.nanoTime()));
        }
    }

    @Override
    public void begin(RequestId request, CallRelay relay, Event.CallArrived arrived) {
        relays.put(request, relay);
        handle(arrived);
    }

    @Override
    public boolean isOpen(RequestId request) {
        return relays.containsKey(request);
    }

    @Override
    public void forget(RequestId request) {
        relays.remove(request);
    }

    /** Ignores all further events, which closing connections would cause. */
    void close() {
        closed = true;
    }

    private void carryOut(List<Action> actions) {
        for (Action action : actions) {
            switch (action) {
                case Action.SendTry a -> relay(a.tryId().request(), a);
                case Action.CancelTry a -> relay(a.tryId().request(), a);
                case Action.RelayAnswer a -> relay(a.tryId().request(), a);
                case Action.ReplayAnswer a -> relay(a.request(), a);
                case Action.RefuseCaller a -> relay(a.request(), a);
                case Action.CallStore a -> stores.call(a, answer -> answered(a, answer));
                case Action.CallFleet a -> stores.call(a, answer -> answered(a, answer));
                case Action.SetTimer a ->
                        timers.set(
                                a.timer(),
                                a.delayNanos(),
                                timer -> handle(new Event.TimerFired(timer)));
                case Action.RecordDecision a -> decisions.accept(a.decision());
                case Action.ConfigAdopted a -> logAdopted(a.config());
                case Action.FinishStop a -> onFinishStop.accept(a);
                case Action.StopTaking a -> onStopTaking.run();
                case Action.SendPeer a -> peers.accept(a.address(), a.message());
                case Action.SendProbe a -> probes.send(a);
            }
        }
    }

    private static void logAdopted(ConfigSet config) {
        int servers = 0;
        int draining = 0;
        for (Service service : config.services().values()) {
            servers += service.backendServers().size();
            for (BackendServer server : service.backendServers()) {
                draining += server.draining() ? 1 : 0;
            }
        }
        List<String> outOfService =
                config.failureDomains().values().stream()
                        .filter(domain -> !domain.inService())
                        .map(domain -> domain.id().value())
                        .toList();
        LOG.atInfo()
                .addKeyValue("generation", config.generation().number())
                .addKeyValue("routes", config.routes().size())
                .addKeyValue("backendServers", servers)
                .addKeyValue("draining", draining)
                .addKeyValue("outOfService", outOfService)
                .log("configuration in force");
    }

    private void answered(Action.CallStore order, StoreAnswer answer) {
        metrics.storeAnswered(answer instanceof StoreAnswer.Failed);
        handle(new Event.StoreAnswered(order.call(), answer));
    }

    private void answered(Action.CallFleet order, FleetAnswer answer) {
        metrics.storeAnswered(answer instanceof FleetAnswer.Failed);
        handle(new Event.FleetAnswered(order.call(), answer));
    }

    private void relay(RequestId request, Action action) {
        CallRelay relay = relays.get(request);
        if (relay != null) {
            relay.carryOut(action);
        }
    }
}
