package org.snipeslip.core.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
 * the server proves to be gone; a reset, a broken answer or a server that is silent is not. Guarded
 * by the shard's lock.
 */
final class ShardSuspects {
    /** A connection that is accepted while the server crashes says nothing. */
    private static final int MAX_CHECKS = 3;

    /** Calls that one crash may put under suspicion; a server runs fewer at a time. */
    private static final int MAX_LOST_PER_SERVER = 64;

    private static final int MIN_ERROR_STATUS = 500;

    private final ServiceId service;
    private final RegionId region;
    private final ShardProbes probes;
    private final SuspectTable table;
    private final Map<BackendServerId, Check> checks = new HashMap<>();

    ShardSuspects(ServiceId service, RegionId region, ShardProbes probes, SuspectTable table) {
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
        }
        if (check.lost.size() < MAX_LOST_PER_SERVER) {
            check.lost.add(lost);
        }
    }

    /** Handles the result of a check. */
    void checked(BackendServerId id, ServerPresence presence, long nowNanos, Outbox outbox) {
        Check check = checks.get(id);
        if (check == null) {
            return;
        }
        if (presence == ServerPresence.UNKNOWN && check.sent < MAX_CHECKS) {
            send(check, outbox);
            return;
        }
        checks.remove(id);
        if (presence == ServerPresence.GONE) {
            check.lost.forEach(lost -> crashed(lost, nowNanos, outbox));
        }
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
        private int sent;

        Check(ServerState server) {
            this.server = server;
        }
    }
}
