package org.snipeslip.core.call;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.Service;
import org.snipeslip.core.detour.DetourPeers;
import org.snipeslip.core.detour.LinkChange;
import org.snipeslip.core.detour.LinkMonitor;
import org.snipeslip.core.detour.LinkState;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.id.TryId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.EngineName;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.RecordableAnswer;
import org.snipeslip.core.instance.TimerId;
import org.snipeslip.core.retry.RetryRule;
import org.snipeslip.core.suspect.SuspectPeer;

/**
 * Passes calls to other instances while this one does not reach the backend servers: all calls
 * while it is cut off, and those that have found no server while its links are doubtful. It answers
 * the load of an instance whose callers stay connected to it although it can serve none of them.
 * While the instance is cut off, a few servers are tried on new connections, until the links are
 * back. Its lock is acquired after that of a shard.
 */
final class Detour implements CallOwner {
    private static final TimerId TIMER = new TimerId(EngineName.DETOUR, "links");

    /** Interval of asking other instances, and of trying servers. */
    private static final long TICK_NANOS = 250_000_000;

    /** Servers that are tried at a time, each of another failure domain as far as possible. */
    private static final int TESTS_PER_TICK = 4;

    /** Instances that a call is passed to, if the first ones refuse it. */
    private static final int MAX_INSTANCES = 3;

    /** Callers return when the next answers of other instances are in. */
    static final long RETRY_AFTER_MILLIS = 250;

    /** Only the calls of callers bound the connections between two instances. */
    private static final int CONNECTION_LIMIT = 65_535;

    private final CallSettings settings;
    private final OpenCalls openCalls;
    private final RandomGenerator random;
    private final DetourPeers peers;
    private final LinkMonitor monitor = new LinkMonitor();
    private final Map<RequestId, PassedCall> passed = new HashMap<>();
    private ConfigSet config = ConfigSet.EMPTY;
    private long version;
    private boolean ticking;

    /** Whether there is an instance to which calls could be passed. */
    private volatile boolean hasPeers;

    Detour(CallSettings settings, RegionId region, OpenCalls openCalls, RandomGenerator random) {
        this.settings = settings;
        this.openCalls = openCalls;
        this.random = random;
        this.peers = new DetourPeers(region, random);
    }

    synchronized void configure(ConfigSet newConfig, long newVersion) {
        config = newConfig;
        version = newVersion;
        Set<FailureDomainId> domains = new HashSet<>();
        int servers = 0;
        for (Service service : config.services().values()) {
            for (BackendServer server : service.backendServers()) {
                domains.add(server.failureDomain());
                servers++;
            }
        }
        monitor.configure(servers, domains.size());
    }

    synchronized void setPeers(List<SuspectPeer> others) {
        peers.setPeers(others);
        hasPeers = !others.isEmpty();
    }

    /** Returns whether this instance reaches no server. */
    boolean isCutOff() {
        return monitor.state() == LinkState.CUT_OFF;
    }

    /** Records that a server has answered. */
    void serverAnswered(BackendServerId server, long nowNanos, Outbox outbox) {
        if (hasPeers) {
            changed(monitor.answered(server, nowNanos), nowNanos, outbox);
        }
    }

    /** Records that a server was not reached. */
    void serverUnreachable(BackendServer server, long nowNanos, Outbox outbox) {
        if (hasPeers) {
            FailureDomainId domain = server.failureDomain();
            changed(monitor.unreachable(server.id(), domain, nowNanos), nowNanos, outbox);
        }
    }

    private void changed(LinkChange change, long nowNanos, Outbox outbox) {
        if (change != null) {
            outbox.add(new Action.LinksChanged(change));
            if (change.now() != LinkState.CONNECTED) {
                tick(nowNanos, outbox);
            }
        }
    }

    synchronized void timerFired(long nowNanos, Outbox outbox) {
        ticking = false;
        LinkChange change = monitor.expire(nowNanos);
        if (change != null) {
            outbox.add(new Action.LinksChanged(change));
        }
        if (monitor.state() != LinkState.CONNECTED) {
            tick(nowNanos, outbox);
        }
    }

    private synchronized void tick(long nowNanos, Outbox outbox) {
        for (SuspectPeer peer : peers.toAsk(isCutOff(), nowNanos)) {
            outbox.add(new Action.AskDetour(peer.address(), version));
        }
        if (ticking) {
            return;
        }
        ticking = true;
        if (monitor.needsTest()) {
            testLinks(outbox);
        }
        outbox.add(new Action.SetTimer(TIMER, TICK_NANOS, true));
    }

    private void testLinks(Outbox outbox) {
        List<Action.TestLink> all = new ArrayList<>();
        for (Service service : config.services().values()) {
            for (BackendServer server : service.backendServers()) {
                all.add(new Action.TestLink(service.id(), server, service.probePath()));
            }
        }
        Collections.shuffle(all, Random.from(random));
        Set<FailureDomainId> domains = new HashSet<>();
        List<Action.TestLink> chosen = new ArrayList<>();
        List<Action.TestLink> others = new ArrayList<>();
        for (Action.TestLink test : all) {
            (domains.add(test.target().failureDomain()) ? chosen : others).add(test);
        }
        chosen.addAll(others);
        chosen.stream().limit(TESTS_PER_TICK).forEach(outbox::add);
    }

    /** Records whether another instance would send calls for this one. */
    synchronized void peerAnswered(String address, boolean willing, long nowNanos) {
        peers.answered(address, willing, nowNanos);
    }

    /**
     * Passes a call to another instance, unless none is known to be willing or the call must not be
     * sent again.
     *
     * @param earnsRetry whether the call has not yet counted for a retry budget
     * @return whether this object owns the call now
     */
    synchronized boolean take(CallState call, boolean earnsRetry, long nowNanos, Outbox outbox) {
        if (call.head.handover() != null || !mayPass(call, nowNanos)) {
            return false;
        }
        PassedCall passedCall = new PassedCall(call, earnsRetry);
        if (!pass(passedCall, nowNanos, outbox)) {
            return false;
        }
        passed.put(call.request, passedCall);
        openCalls.add(call.request, this);
        return true;
    }

    private static boolean mayPass(CallState call, long nowNanos) {
        boolean servable = !call.homeRegions.bound() || !call.homeRegions.regions().isEmpty();
        return servable
                && RetryRule.mayRetry(
                        call.idempotent,
                        call.mayHaveStarted,
                        call.head.bodyReplayable(),
                        call.bytesSent,
                        1,
                        call.deadlineNanos - nowNanos);
    }

    private boolean pass(PassedCall passedCall, long nowNanos, Outbox outbox) {
        CallState call = passedCall.call;
        SuspectPeer peer = peers.choose(call.homeRegions.regions(), passedCall.tried, nowNanos);
        if (peer == null) {
            return false;
        }
        passedCall.tried.add(peer.address());
        passedCall.peer = peer.address();
        passedCall.tryId = new TryId(call.request, call.tries.size() + passedCall.tried.size());
        Handover handover =
                new Handover(
                        version,
                        Math.max(0, call.retriesLeft),
                        passedCall.earnsRetry,
                        call.organisationId());
        outbox.add(
                new Action.SendTry(
                        passedCall.tryId,
                        call.route.service(),
                        target(peer),
                        call.deadlineNanos - nowNanos,
                        handover.retriesLeft(),
                        false,
                        handover,
                        null));
        record(call, DecisionRecord.Kind.PASSED_ON, passedCall, null, outbox);
        return true;
    }

    private static BackendServer target(SuspectPeer peer) {
        int colon = peer.address().lastIndexOf(':');
        return new BackendServer(
                new BackendServerId(peer.name()),
                peer.address().substring(0, colon),
                Integer.parseInt(peer.address().substring(colon + 1)),
                new FailureDomainId(peer.region().value()),
                1,
                CONNECTION_LIMIT,
                false);
    }

    @Override
    public synchronized void answered(
            TryId tryId, int status, LoadReport load, long nowNanos, Outbox outbox) {
        PassedCall passedCall = find(tryId);
        if (passedCall == null || passedCall.answered) {
            return;
        }
        CallState call = passedCall.call;
        if (settings.mayRelay(call.idempotent, status)) {
            passedCall.answered = true;
            outbox.add(new Action.RelayAnswer(tryId));
        } else {
            // An instance that has not sent the call on says so in a field.
            call.mayHaveStarted = true;
            call.bytesSent = true;
            outbox.add(new Action.CancelTry(tryId));
            refuse(passedCall, RefusalReason.NOT_RUN_UNPROVEN, outbox);
        }
    }

    @Override
    public synchronized void completed(
            TryId tryId, RecordableAnswer answer, long nowNanos, Outbox outbox) {
        PassedCall passedCall = find(tryId);
        if (passedCall != null) {
            end(passedCall.call);
        }
    }

    @Override
    public boolean maySend(TryId tryId) {
        // The instance that gets the call decides whether a server may receive it.
        return true;
    }

    @Override
    public synchronized void failed(
            TryId tryId, TryFailure failure, LoadReport load, long nowNanos, Outbox outbox) {
        PassedCall passedCall = find(tryId);
        if (passedCall == null) {
            return;
        }
        CallState call = passedCall.call;
        if (passedCall.answered) {
            end(call);
            return;
        }
        call.mayHaveStarted |= failure.mayHaveStarted();
        call.bytesSent |= failure.mayHaveSent();
        if (failure != TryFailure.REQUEST_BODY_BROKEN) {
            peers.answered(passedCall.peer, false, nowNanos);
        }
        boolean again =
                !failure.mayHaveStarted()
                        && passedCall.tried.size() < MAX_INSTANCES
                        && mayPass(call, nowNanos);
        if (!again || !pass(passedCall, nowNanos, outbox)) {
            refuse(passedCall, CallCompletion.reasonOf(failure), outbox);
        }
    }

    @Override
    public synchronized void callerDisconnected(RequestId request, long nowNanos, Outbox outbox) {
        PassedCall passedCall = passed.get(request);
        if (passedCall != null) {
            outbox.add(new Action.CancelTry(passedCall.tryId));
            end(passedCall.call);
        }
    }

    /** Ends every call at the time limit of a planned stop; relayed responses are cut off. */
    synchronized void abort(Outbox outbox) {
        for (PassedCall passedCall : List.copyOf(passed.values())) {
            CallState call = passedCall.call;
            call.mayHaveStarted = true;
            call.bytesSent = true;
            outbox.add(new Action.CancelTry(passedCall.tryId));
            if (passedCall.answered) {
                end(call);
            } else {
                refuse(passedCall, RefusalReason.STOPPING, outbox);
            }
        }
    }

    private void refuse(PassedCall passedCall, RefusalReason reason, Outbox outbox) {
        CallState call = passedCall.call;
        long retryAfterMillis = call.mayHaveStarted ? 0 : RETRY_AFTER_MILLIS;
        Refusal refusal = CallCompletion.refusal(call, reason, retryAfterMillis);
        end(call);
        outbox.add(new Action.RefuseCaller(call.request, refusal));
        CallCompletion.returnQuota(call, refusal, outbox);
        record(call, DecisionRecord.Kind.REFUSED, passedCall, refusal, outbox);
    }

    private PassedCall find(TryId tryId) {
        PassedCall passedCall = passed.get(tryId.request());
        return passedCall != null && passedCall.tryId.equals(tryId) ? passedCall : null;
    }

    private void end(CallState call) {
        call.ended = true;
        passed.remove(call.request);
        openCalls.remove(call.request);
    }

    private static void record(
            CallState call,
            DecisionRecord.Kind kind,
            PassedCall passedCall,
            Refusal refusal,
            Outbox outbox) {
        outbox.add(
                new Action.RecordDecision(
                        DecisionRecord.ofPassedCall(
                                call, kind, passedCall.tryId, passedCall.peer, refusal)));
    }

    /** A call that another instance sends. */
    private static final class PassedCall {
        private final CallState call;
        private final boolean earnsRetry;

        /** Addresses of the instances to which the call was passed. */
        private final Set<String> tried = new HashSet<>();

        private String peer;
        private TryId tryId;
        private boolean answered;

        PassedCall(CallState call, boolean earnsRetry) {
            this.call = call;
            this.earnsRetry = earnsRetry;
        }
    }
}
