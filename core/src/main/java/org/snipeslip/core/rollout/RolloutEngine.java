package org.snipeslip.core.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.Service;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.ServerVersion;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.EngineName;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.TimerId;
import org.snipeslip.core.suspect.SuspectPeer;

/**
 * Decides about the rollouts of all services together with the other instances. Each instance
 * reports its counts to the judge of the service, which rendezvous hashing selects among the
 * instances that answer, and is told the step to follow. Nothing is sent while no order is
 * undecided. Guarded by its own lock, which is acquired after that of discovery and before those of
 * {@link ServiceVersions}.
 */
public final class RolloutEngine {
    private static final TimerId TIMER = new TimerId(EngineName.ROLLOUTS, "rollouts");
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MIN_PERIOD_MILLIS = 250;

    /** Keeps the judge of hundreds of instances at some hundred reports a second. */
    private static final long PERIOD_PER_INSTANCE_MILLIS = 4;

    private static final long AVOID_NANOS = 3_000 * NANOS_PER_MILLI;

    /** Entries of stopped instances stay in the store; each of them is asked ever more rarely. */
    private static final int MAX_DOUBLINGS = 4;

    private final InstanceId self;
    private final RolloutTable table;
    private final long incarnation;
    private final Map<ServiceId, ServiceRollout> rollouts = new TreeMap<>();
    private final Map<String, Avoided> avoided = new HashMap<>();

    /** The versions that were last logged as getting no calls. */
    private final Map<ServiceId, Set<ServerVersion>> barred = new HashMap<>();

    private List<SuspectPeer> peers = List.of();

    /**
     * Creates an engine that knows no order.
     *
     * @param self name of this instance
     * @param table the versions of all services
     * @param incarnation distinguishes the starts of this instance
     */
    public RolloutEngine(InstanceId self, RolloutTable table, long incarnation) {
        this.self = self;
        this.table = table;
        this.incarnation = incarnation;
    }

    /** Replaces the known instances, this one excluded. */
    public synchronized void setPeers(List<SuspectPeer> newPeers) {
        peers = List.copyOf(newPeers);
        avoided.keySet().retainAll(peers.stream().map(SuspectPeer::address).toList());
    }

    /**
     * Returns how many orders are undecided.
     *
     * @return rollouts in which this instance takes part
     */
    public synchronized int openRollouts() {
        return rollouts.size();
    }

    /**
     * Applies the orders of a configuration, after the calls have applied it.
     *
     * @param config the configuration
     * @param nowNanos the current time
     * @param outbox receives the resulting actions
     */
    public synchronized void configure(ConfigSet config, long nowNanos, Outbox outbox) {
        boolean wereOpen = !rollouts.isEmpty();
        Set<ServiceId> ordered = new HashSet<>();
        for (Service service : config.services().values()) {
            RolloutEntry entry = service.rollout();
            logBarred(service.id(), entry, outbox);
            if (entry == null) {
                continue;
            }
            ordered.add(service.id());
            ServiceRollout known = rollouts.get(service.id());
            if (known != null && !known.entry().target().equals(entry.target())) {
                rollouts.remove(service.id());
                known = null;
            }
            if (known != null) {
                known.configure(entry, nowNanos, outbox);
            } else if (!entry.isDecided() && !isDecidedHere(entry)) {
                rollouts.put(
                        service.id(),
                        new ServiceRollout(
                                self.value(),
                                incarnation,
                                table.of(service.id()),
                                entry,
                                nowNanos,
                                outbox));
            }
        }
        rollouts.keySet().retainAll(ordered);
        removeDecided();
        if (!wereOpen && !rollouts.isEmpty()) {
            outbox.add(new Action.SetTimer(TIMER, 0, true));
        }
    }

    private void logBarred(ServiceId service, RolloutEntry entry, Outbox outbox) {
        Set<ServerVersion> now = table.of(service).barred();
        Set<ServerVersion> before = barred.getOrDefault(service, Set.of());
        if (now.equals(before)) {
            return;
        }
        barred.put(service, now);
        outbox.add(
                new Action.RolloutChanged(
                        new RolloutChange(
                                service,
                                entry == null ? null : entry.target(),
                                RolloutChange.Kind.BARRED,
                                table.of(service).step(),
                                0,
                                "barred " + now)));
    }

    /** Returns whether this is an older copy of an order whose decision is known. */
    private boolean isDecidedHere(RolloutEntry entry) {
        RolloutStep step = table.of(entry.service()).step();
        return step != null && step.isFinal();
    }

    /** Handles the timer of this object. */
    public synchronized void timerFired(long nowNanos, Outbox outbox) {
        for (ServiceRollout rollout : List.copyOf(rollouts.values())) {
            List<SuspectPeer> judges = judgesBefore(rollout.entry().service(), nowNanos);
            RolloutReport report = rollout.report(nowNanos);
            rollout.received(report, nowNanos);
            rollout.decide(judges.size(), peers.isEmpty(), nowNanos, outbox);
            if (!judges.isEmpty()) {
                outbox.add(new Action.SendRolloutReport(judges.getFirst().address(), report));
            }
        }
        if (!rollouts.isEmpty()) {
            long periodMillis =
                    Math.max(MIN_PERIOD_MILLIS, PERIOD_PER_INSTANCE_MILLIS * peers.size());
            outbox.add(new Action.SetTimer(TIMER, periodMillis * NANOS_PER_MILLI, true));
        }
    }

    /** Returns the instances that are the judge rather than this one, the first one first. */
    private List<SuspectPeer> judgesBefore(ServiceId service, long nowNanos) {
        long own = RolloutRank.of(service + "/" + self.value());
        List<SuspectPeer> before = new ArrayList<>();
        for (SuspectPeer peer : peers) {
            Avoided known = avoided.get(peer.address());
            boolean askable = known == null || nowNanos >= known.untilNanos;
            if (askable && RolloutRank.of(service + "/" + peer.name()) < own) {
                before.add(peer);
            }
        }
        before.sort(Comparator.comparingLong(peer -> RolloutRank.of(service + "/" + peer.name())));
        return before;
    }

    /**
     * Handles the report of another instance.
     *
     * @param report the report
     * @param nowNanos the current time
     * @return the step that it has to follow, or null if this instance does not know the order
     */
    public synchronized RolloutStep received(RolloutReport report, long nowNanos) {
        ServiceRollout rollout = rollouts.get(report.service());
        if (rollout != null && rollout.entry().target().equals(report.target())) {
            return rollout.received(report, nowNanos);
        }
        RolloutEntry known = table.of(report.service()).entry();
        RolloutStep step = table.of(report.service()).step();
        boolean decided = step != null && step.isFinal();
        return decided && known.target().equals(report.target()) ? step : null;
    }

    /**
     * Handles the end of a report of this instance.
     *
     * @param sent the report
     * @param answer the step to follow, or null if there was no answer or the order is not known
     * @param nowNanos the current time
     * @param outbox receives the resulting actions
     */
    public synchronized void reportEnded(
            Action.SendRolloutReport sent, RolloutStep answer, long nowNanos, Outbox outbox) {
        ServiceRollout rollout = rollouts.get(sent.report().service());
        boolean open = rollout != null && rollout.entry().target().equals(sent.report().target());
        if (answer != null) {
            avoided.remove(sent.address());
            if (open && rollout.told(answer, nowNanos, outbox)) {
                // The judge waits until all instances follow.
                outbox.add(new Action.SendRolloutReport(sent.address(), rollout.report(nowNanos)));
            }
            return;
        }
        int failures =
                avoided.containsKey(sent.address()) ? avoided.get(sent.address()).failures : 0;
        long avoidNanos = AVOID_NANOS << Math.min(failures, MAX_DOUBLINGS);
        avoided.put(sent.address(), new Avoided(nowNanos + avoidNanos, failures + 1));
        List<SuspectPeer> judges = judgesBefore(sent.report().service(), nowNanos);
        if (open && !judges.isEmpty()) {
            // The next judge needs the counts soon.
            String next = judges.getFirst().address();
            outbox.add(new Action.SendRolloutReport(next, sent.report()));
        }
    }

    /** Handles the response of the store to a request of this object. */
    public synchronized void responded(
            Event.DiscoveryResponded event, long nowNanos, Outbox outbox) {
        for (ServiceRollout rollout : rollouts.values()) {
            if (rollout.awaits(event.request())) {
                rollout.responded(event.request(), event.response(), nowNanos, outbox);
            }
        }
        removeDecided();
    }

    private void removeDecided() {
        rollouts.values().removeIf(rollout -> rollout.entry().isDecided());
    }

    /** An instance that did not answer, or did not know the order. */
    private record Avoided(long untilNanos, int failures) {}
}
