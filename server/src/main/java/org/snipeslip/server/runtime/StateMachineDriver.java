package org.snipeslip.server.runtime;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import org.snipeslip.core.call.DecisionRecord;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.Service;
import org.snipeslip.core.detour.LinkChange;
import org.snipeslip.core.detour.LinkState;
import org.snipeslip.core.discovery.ConfigOrigin;
import org.snipeslip.core.discovery.DiscoveryRequest;
import org.snipeslip.core.discovery.DiscoveryResponse;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.StateMachine;
import org.snipeslip.core.peer.PeerAddress;
import org.snipeslip.core.peer.PeerMessage;
import org.snipeslip.core.ratelimit.RateLimit;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.server.http.CallEventHandler;
import org.snipeslip.server.http.CallRelay;
import org.snipeslip.server.http.ProbeSender;
import org.snipeslip.server.operator.InstanceMetrics;

/**
 * Passes events to the state machine and executes the resulting actions: on the relays of calls,
 * the store, the timers, the peers and the probes. It makes no decisions itself.
 */
public final class StateMachineDriver implements CallEventHandler {
    private static final Logger LOG = LoggerFactory.getLogger(StateMachineDriver.class);
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final StateMachine stateMachine;
    private final StoreClient storeClient;
    private final ProbeSender probeSender;
    private final Timers timers;
    private final InstanceMetrics metrics;
    private final Consumer<DecisionRecord> decisionConsumer;
    private final BiConsumer<PeerAddress, PeerMessage> peerSender;
    private final Runnable onStopAccepting;
    private final Consumer<Action.FinishStop> onFinishStop;
    private final ClockWatch clockWatch;
    private final Map<RequestId, CallRelay> relays = new ConcurrentHashMap<>();
    private volatile SuspectLink suspectLink = SuspectLink.NONE;
    private volatile RolloutLink rolloutLink = RolloutLink.NONE;
    private volatile DetourLink detourLink = DetourLink.NONE;
    private volatile QuotaLink quotaLink = QuotaLink.NONE;
    private volatile AnnouncementLink announcementLink = AnnouncementLink.NONE;
    private volatile boolean closed;

    StateMachineDriver(
            StateMachine stateMachine,
            StoreClient storeClient,
            Function<Consumer<Event>, ProbeSender> probeSenderFactory,
            Timers timers,
            InstanceMetrics metrics,
            Consumer<DecisionRecord> decisionConsumer,
            BiConsumer<PeerAddress, PeerMessage> peerSender,
            Runnable onStopAccepting,
            Consumer<Action.FinishStop> onFinishStop) {
        this.stateMachine = stateMachine;
        this.storeClient = storeClient;
        this.probeSender = probeSenderFactory.apply(this::handle);
        this.timers = timers;
        this.metrics = metrics;
        this.decisionConsumer = decisionConsumer;
        this.peerSender = peerSender;
        this.onStopAccepting = onStopAccepting;
        this.onFinishStop = onFinishStop;
        this.clockWatch = new ClockWatch(metrics, () -> handle(new Event.ClockJumped()));
    }

    @Override
    public void handle(Event event) {
        if (!closed) {
            execute(stateMachine.handle(event, System.nanoTime()));
        }
    }

    @Override
    public void begin(RequestId request, CallRelay relay, Event.CallArrived arrived) {
        clockWatch.check();
        relays.put(request, relay);
        handle(arrived);
    }

    @Override
    public boolean isOpen(RequestId request) {
        return relays.containsKey(request);
    }

    @Override
    public boolean maySend(TryId tryId) {
        return stateMachine.maySend(tryId);
    }

    @Override
    public void forget(RequestId request) {
        relays.remove(request);
    }

    /** Sets the link to other instances for messages about suspected requests. */
    void setSuspectLink(SuspectLink link) {
        suspectLink = link;
    }

    /** Sets the link to other instances for reports on rollouts. */
    void setRolloutLink(RolloutLink link) {
        rolloutLink = link;
    }

    /** Sets the link to other instances that lend parts of quotas. */
    void setQuotaLink(QuotaLink link) {
        quotaLink = link;
    }

    /** Sets the link to other instances that have to count this one. */
    void setAnnouncementLink(AnnouncementLink link) {
        announcementLink = link;
    }

    /** Sets the link to other instances that can send calls for this one. */
    void setDetourLink(DetourLink link) {
        detourLink = link;
    }

    /** Handles a freeze of the process, if there was one, before anything is decided by an age. */
    void checkClocks() {
        if (!closed) {
            clockWatch.check();
        }
    }

    /** Ignores all further events, such as those caused by connections that are being closed. */
    void close() {
        closed = true;
    }

    /** Executes actions, in order. */
    void execute(List<Action> actions) {
        for (Action action : actions) {
            switch (action) {
                case Action.SendTry a -> executeOnRelay(a.tryId().request(), a);
                case Action.CancelTry a -> executeOnRelay(a.tryId().request(), a);
                case Action.RelayAnswer a -> executeOnRelay(a.tryId().request(), a);
                case Action.ReplayAnswer a -> executeOnRelay(a.request(), a);
                case Action.RefuseCaller a -> executeOnRelay(a.request(), a);
                case Action.CallStore a -> storeClient.call(a, answer -> storeAnswered(a, answer));
                case Action.SendDiscoveryRequest a ->
                        storeClient.call(a, response -> storeResponded(a, response));
                case Action.SetTimer a ->
                        timers.set(
                                a.timer(),
                                a.delayNanos(),
                                a.unlessEarlier(),
                                timer -> handle(new Event.TimerFired(timer)));
                case Action.RecordDecision a -> decisionConsumer.accept(a.decision());
                case Action.ConfigAdopted a -> logConfigInForce(a.config(), a.origin());
                case Action.FinishStop a -> onFinishStop.accept(a);
                case Action.StopAccepting a -> onStopAccepting.run();
                case Action.SendPeerMessage a -> peerSender.accept(a.address(), a.message());
                case Action.SendProbe a -> probeSender.send(a);
                case Action.RateLimitChanged a -> logRateLimit(a);
                case Action.ShortageChanged a -> logShortage(a);
                case Action.ServerLeaving a -> logServerLeaving(a);
                case Action.ServerCold a -> logServerCold(a);
                case Action.StoreRestored a -> logStoreRestored(a);
                case Action.CheckServer a -> probeSender.check(a);
                case Action.TestLink a -> probeSender.test(a);
                case Action.LinksChanged a -> logLinks(a.change());
                case Action.AskDetour a ->
                        detourLink.ask(
                                a,
                                willing -> handle(new Event.DetourAnswered(a.address(), willing)));
                case Action.SuspicionChanged a -> SuspectLog.log(a.change(), metrics);
                case Action.SendSuspectMessage a ->
                        suspectLink.send(
                                a, delivered -> handle(new Event.SuspectMessageSent(a, delivered)));
                case Action.ReadRequest a -> executeOnRelay(a.request(), a);
                case Action.AskSuspicion a ->
                        suspectLink.ask(
                                a, verdict -> handle(new Event.SuspicionAnswered(a, verdict)));
                case Action.SendRolloutReport a ->
                        rolloutLink.send(a, step -> handle(new Event.RolloutReportEnded(a, step)));
                case Action.RolloutChanged a -> RolloutLog.log(a.change(), metrics);
                case Action.AskQuota a ->
                        quotaLink.ask(a, answer -> handle(new Event.QuotaAnswered(a, answer)));
                case Action.AnnounceInstance a ->
                        announcementLink.send(
                                a, delivered -> handle(new Event.AnnouncementEnded(a, delivered)));
                case Action.InstanceShareChanged a -> logInstanceShare(a);
                case Action.PullSuspicions a ->
                        suspectLink.pull(a, told -> handle(new Event.SuspicionsPulled(told)));
            }
        }
    }

    private static void logConfigInForce(ConfigSet config, ConfigOrigin origin) {
        int serverCount = 0;
        int drainingCount = 0;
        for (Service service : config.services().values()) {
            serverCount += service.backendServers().size();
            for (BackendServer server : service.backendServers()) {
                drainingCount += server.draining() ? 1 : 0;
            }
        }
        List<String> outOfService =
                config.failureDomains().values().stream()
                        .filter(domain -> !domain.inService())
                        .map(domain -> domain.id().value())
                        .toList();
        LoggingEventBuilder line = LOG.atInfo();
        if (origin != null) {
            line =
                    line.addKeyValue("version", origin.version())
                            .addKeyValue(
                                    "source",
                                    origin.followed().isEmpty() ? "store" : origin.followed())
                            .addKeyValue("revisions", origin.revisions())
                            .addKeyValue("ageMillis", origin.ageMillis());
        }
        line.addKeyValue("generation", config.generation().number())
                .addKeyValue("routes", config.routes().size())
                .addKeyValue("backendServers", serverCount)
                .addKeyValue("draining", drainingCount)
                .addKeyValue("outOfService", outOfService)
                .log("configuration in force");
    }

    private void logRateLimit(Action.RateLimitChanged change) {
        metrics.rateLimitChanged();
        LOG.atInfo()
                .addKeyValue("service", change.service())
                .addKeyValue("backendServer", change.backendServer())
                .addKeyValue("before", textOf(change.before()))
                .addKeyValue("now", textOf(change.now()))
                .addKeyValue("share", change.share())
                .addKeyValue("source", change.byProbe() ? "probe" : "call")
                .log("rate limit of a backend server changed");
    }

    private void logShortage(Action.ShortageChanged change) {
        metrics.shortageChanged();
        LOG.atInfo()
                .addKeyValue("service", change.service())
                .addKeyValue("short", change.isShort())
                .addKeyValue("admittedPart", change.admittedPart())
                .log("room of a service changed");
    }

    private static void logServerLeaving(Action.ServerLeaving leaving) {
        LOG.atInfo()
                .addKeyValue("service", leaving.service())
                .addKeyValue("backendServer", leaving.backendServer())
                .addKeyValue("incarnation", leaving.incarnation())
                .addKeyValue("source", leaving.byProbe() ? "probe" : "call")
                .log("backend server says that it leaves");
    }

    private static void logServerCold(Action.ServerCold cold) {
        LOG.atInfo()
                .addKeyValue("service", cold.service())
                .addKeyValue("backendServer", cold.backendServer())
                .addKeyValue("coldMillis", cold.coldMillis())
                .addKeyValue("source", cold.byProbe() ? "probe" : "call")
                .log("backend server has become cold");
    }

    private void logStoreRestored(Action.StoreRestored restored) {
        metrics.storeRestored();
        LOG.atWarn()
                .addKeyValue("eraBefore", restored.eraBefore())
                .addKeyValue("era", restored.era())
                .log("store was restored from a copy; everything is read again");
    }

    private static void logInstanceShare(Action.InstanceShareChanged change) {
        LOG.atInfo()
                .addKeyValue("instances", change.instances())
                .addKeyValue("counted", change.counted())
                .log("share of limits on all instances changed");
    }

    private void logLinks(LinkChange change) {
        metrics.linksChanged();
        LoggingEventBuilder line = change.now() == LinkState.CUT_OFF ? LOG.atWarn() : LOG.atInfo();
        line.addKeyValue("before", change.before().name().toLowerCase(Locale.ROOT))
                .addKeyValue("now", change.now().name().toLowerCase(Locale.ROOT))
                .addKeyValue("unreachable", change.unreachable())
                .addKeyValue("failureDomains", change.failureDomains())
                .addKeyValue("silentMillis", change.silentNanos() / NANOS_PER_MILLI)
                .log("links to the backend servers");
    }

    private static String textOf(RateLimit limit) {
        return switch (limit) {
            case RateLimit.Unknown unknown -> "unknown";
            case RateLimit.Unlimited unlimited -> "none";
            case RateLimit.CallsPerSecond(double callsPerSecond) -> callsPerSecond + " calls/s";
        };
    }

    private void storeAnswered(Action.CallStore action, StoreAnswer answer) {
        metrics.storeCallEnded(answer instanceof StoreAnswer.Failed);
        handle(new Event.StoreAnswered(action.call(), answer));
    }

    private void storeResponded(Action.SendDiscoveryRequest action, DiscoveryResponse response) {
        if (!(action.request() instanceof DiscoveryRequest.PeerPoll)) {
            metrics.storeCallEnded(response instanceof DiscoveryResponse.Failed);
        }
        handle(new Event.DiscoveryResponded(action.request(), response));
    }

    private void executeOnRelay(RequestId request, Action action) {
        CallRelay relay = relays.get(request);
        if (relay != null) {
            relay.execute(action);
        }
    }
}
