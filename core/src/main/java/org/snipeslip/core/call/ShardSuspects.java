package org.snipeslip.core.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RequestDigest;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.suspect.SuspectChange;
import org.snipeslip.core.suspect.SuspectQuestion;
import org.snipeslip.core.suspect.SuspectTable;
import org.snipeslip.core.suspect.Suspicion;
import org.snipeslip.core.suspect.Verdict;

/**
 * Finds out which requests crash the servers of one service. A lost connection is evidence only if
 * the server proves to be gone; a reset, a broken answer or a server that is silent is not. A
 * server that refuses connections is gone only if another one accepts them: otherwise this instance
 * may have lost its links. Guarded by the shard's lock.
 */
final class ShardSuspects {
    /** A connection that is accepted while the server crashes says nothing. */
    private static final int MAX_CHECKS = 3;

    /** Other servers that are tried before a server counts as gone; some may have crashed too. */
    private static final int MAX_CONTROLS = 3;

    /** Calls that one crash may put under suspicion; a server runs fewer at a time. */
    private static final int MAX_LOST_PER_SERVER = 64;

    private static final int MIN_ERROR_STATUS = 500;

    private final ServiceId service;
    private final RegionId region;
    private final ServerPool pool;
    private final ShardProbes probes;
    private final SuspectTable table;
    private final Map<BackendServerId, Check> checks = new HashMap<>();

    /** Checks of servers that may be gone, by the other server that is tried now. */
    private final Map<BackendServerId, List<Check>> controls = new HashMap<>();

    ShardSuspects(
            ServiceId service,
            RegionId region,
            ServerPool pool,
            ShardProbes probes,
            SuspectTable table) {
        this.pool = pool;
        this.service = service;
        this.region = region;
        this.probes = probes;
        this.table = table;
    }

    /**
     * Makes a call wait until it is known what is suspected of it: until its body has been read,
     * and until an instance of its home regions has answered if this one may not remember the
     * request.
     *
     * @return false if it need not wait
     */
    boolean defer(CallState call, long nowNanos, Outbox outbox) {
        if (table.isEmpty() || !call.tries.isEmpty() || call.toldVerdict != null) {
            return false;
        }
        boolean foreign = !call.homeRegions.allows(region);
        if (foreign && !table.isAlerted(call.homeRegions.regions(), nowNanos)) {
            return false;
        }
        RequestDigest digest = call.head.identity().digest();
        if (digest == null && !call.readAhead) {
            call.readAhead = true;
            outbox.add(new Action.ReadRequest(call.request, call.deadlineNanos - nowNanos));
        } else if (digest != null && foreign) {
            outbox.askSuspicion(
                    new SuspectQuestion(call.request, digest, call.homeRegions.regions()));
        } else {
            return false;
        }
        call.awaitsVerdict = true;
        return true;
    }

    /** Decides about a call that is to be sent now. */
    Verdict verdict(CallState call, long nowNanos) {
        if (call.toldVerdict != null) {
            return call.toldVerdict;
        }
        RequestDigest digest = table.isEmpty() ? null : digestOf(call);
        return digest == null ? Verdict.UNSUSPECTED : table.verdict(digest, nowNanos);
    }

    /**
     * Returns whether a call may be sent again after a failed try: once if its connection was lost,
     * because the request may be the cause, and not at all if servers crashed under the same
     * request before.
     */
    boolean mayRepeat(CallState call, long nowNanos) {
        if (call.lostTryCount == 0) {
            return true;
        }
        return call.lostTryCount == 1
                && call.suspicionLevel == 0
                && verdict(call, nowNanos) instanceof Verdict.Run run
                && run.level() == 0;
    }

    /**
     * Decides about a try whose request is known only now, and not complete yet.
     *
     * @return false if the try must be cancelled
     */
    boolean mayComplete(OpenTry openTry, CallState call, long nowNanos) {
        Verdict verdict = verdict(call, nowNanos);
        if (verdict instanceof Verdict.Refuse
                || verdict instanceof Verdict.RunAlone && openTry.server.load.inFlight() > 1) {
            return false;
        }
        recordVerdict(verdict, openTry, call);
        return true;
    }

    /** Records with a try what is known of its request. */
    void recordVerdict(Verdict verdict, OpenTry openTry, CallState call) {
        switch (verdict) {
            case Verdict.Run run -> {
                openTry.suspicionEpoch = run.epoch();
                openTry.suspicionLevel = run.level();
            }
            case Verdict.RunAlone run -> {
                openTry.suspicionEpoch = run.epoch();
                openTry.suspicionLevel = run.level();
                openTry.runAlone();
            }
            case Verdict.Refuse refuse ->
                    throw new IllegalArgumentException(
                            "a refused call is not sent: " + call.request);
        }
        call.suspicionLevel = Math.max(call.suspicionLevel, openTry.suspicionLevel);
    }

    /** Returns the digest of a call, or null if it is unknown or must stay in its home regions. */
    RequestDigest digestOf(CallState call) {
        return call.homeRegions.allows(region) ? call.head.identity().digest() : null;
    }

    /** Starts to find out whether the server of a lost try has crashed. */
    void lost(CallState call, OpenTry openTry, long nowNanos, Outbox outbox) {
        RequestDigest digest = call.head.identity().digest();
        if (digest == null) {
            return;
        }
        if (call.lostTries == null) {
            call.lostTries = new LostTries(call.request, digest, call.homeRegions.regions());
        }
        LostTries.Lost lost = call.lostTries.add(openTry, nowNanos);
        Check check = checks.get(openTry.serverId);
        if (check == null) {
            check = new Check(openTry.server);
            checks.put(openTry.serverId, check);
            send(check, outbox);
            // At the same time, so that the third crash is not preceded by further ones.
            control(check, nowNanos, outbox);
        }
        if (check.lost.size() < MAX_LOST_PER_SERVER) {
            check.lost.add(lost);
        }
    }

    /** Handles the result of a check, of a server that may be gone or of another one. */
    void checked(BackendServerId id, ServerPresence presence, long nowNanos, Outbox outbox) {
        List<Check> controlled = controls.remove(id);
        if (controlled != null) {
            controlled.forEach(check -> controlled(check, presence, nowNanos, outbox));
        }
        Check check = checks.get(id);
        if (check == null) {
            return;
        }
        if (presence == ServerPresence.UNKNOWN && check.sent < MAX_CHECKS) {
            send(check, outbox);
            return;
        }
        checks.remove(id);
        check.presence = presence;
        conclude(check, nowNanos, outbox);
    }

    private void controlled(Check check, ServerPresence other, long nowNanos, Outbox outbox) {
        check.otherReached |= other == ServerPresence.RUNNING;
        if (!check.otherReached) {
            control(check, nowNanos, outbox);
        }
        conclude(check, nowNanos, outbox);
    }

    private void conclude(Check check, long nowNanos, Outbox outbox) {
        if (check.presence == ServerPresence.GONE && check.otherReached) {
            check.lost.forEach(lost -> crashed(lost, nowNanos, outbox));
            check.lost.clear();
        }
    }

    /** Tries another server, unless there is none, or too many were not reached. */
    private void control(Check check, long nowNanos, Outbox outbox) {
        if (pool.all().length <= 1) {
            check.otherReached = true;
            return;
        }
        ServerState other = check.controls < MAX_CONTROLS ? controlFor(check, nowNanos) : null;
        if (other == null) {
            return;
        }
        check.controls++;
        List<Check> waiting = controls.get(other.server.id());
        if (waiting != null) {
            waiting.add(check);
            return;
        }
        controls.put(other.server.id(), new ArrayList<>(List.of(check)));
        outbox.add(new Action.CheckServer(service, other.server, probes.path()));
    }

    /** Returns the server that has answered last, apart from those that may be gone. */
    private ServerState controlFor(Check check, long nowNanos) {
        ServerState best = null;
        for (ServerState candidate : pool.all()) {
            boolean excluded =
                    candidate == check.server
                            || checks.containsKey(candidate.server.id())
                            || check.controlled.contains(candidate.server.id());
            if (!excluded && (best == null || answeredLater(candidate, best, nowNanos))) {
                best = candidate;
            }
        }
        if (best != null) {
            check.controlled.add(best.server.id());
        }
        return best;
    }

    private static boolean answeredLater(ServerState a, ServerState b, long nowNanos) {
        long ageOfA = a.load.reportAgeNanos(nowNanos);
        long ageOfB = b.load.reportAgeNanos(nowNanos);
        return ageOfA >= 0 && (ageOfB < 0 || ageOfA < ageOfB);
    }

    /** Ends the suspicion of a call that a server has answered. */
    void answered(CallState call, int status, long nowNanos, Outbox outbox) {
        if (table.isEmpty() || status >= MIN_ERROR_STATUS) {
            return;
        }
        if (call.suspicionLevel > 0 && !call.homeRegions.allows(region)) {
            outbox.reportForeignSuspicion(
                    new SuspectChange(
                            new Suspicion(
                                    call.head.identity().digest(),
                                    call.tries.getLast().suspicionEpoch + 1,
                                    0,
                                    call.homeRegions.regions()),
                            SuspectChange.Source.SUCCESS,
                            call.request,
                            null));
            return;
        }
        RequestDigest digest = digestOf(call);
        Suspicion cleared = digest == null ? null : table.cleared(digest, nowNanos);
        if (cleared != null) {
            outbox.add(
                    new Action.SuspicionChanged(
                            new SuspectChange(
                                    cleared, SuspectChange.Source.SUCCESS, call.request, null)));
        }
    }

    private void crashed(LostTries.Lost lost, long nowNanos, Outbox outbox) {
        lost.recordServerGone();
        LostTries call = lost.call;
        long epoch = lost.openTry.suspicionEpoch;
        if (!call.homeRegions.isEmpty() && !call.homeRegions.contains(region)) {
            table.alert(call.homeRegions, nowNanos);
            outbox.reportForeignSuspicion(
                    new SuspectChange(
                            new Suspicion(call.digest, epoch, call.level(epoch), call.homeRegions),
                            SuspectChange.Source.CRASH,
                            call.request,
                            lost.openTry.serverId));
            return;
        }
        Suspicion suspicion =
                table.crashed(call.digest, call.homeRegions, epoch, call.level(epoch), nowNanos);
        if (suspicion != null) {
            outbox.add(
                    new Action.SuspicionChanged(
                            new SuspectChange(
                                    suspicion,
                                    SuspectChange.Source.CRASH,
                                    call.request,
                                    lost.openTry.serverId)));
        }
    }

    private void send(Check check, Outbox outbox) {
        check.sent++;
        outbox.add(new Action.CheckServer(service, check.server.server, probes.path()));
    }

    /** The check of one server, and the tries that depend on it. */
    private static final class Check {
        private final ServerState server;
        private final List<LostTries.Lost> lost = new ArrayList<>(2);
        private final Set<BackendServerId> controlled = new HashSet<>();
        private int sent;
        private int controls;

        /** Whether another server was reached. */
        private boolean otherReached;

        /** What the check has shown, or null. */
        private ServerPresence presence;

        Check(ServerState server) {
            this.server = server;
        }
    }
}
