package org.snipeslip.core.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.EngineName;
import org.snipeslip.core.instance.InstanceSettings;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.TimerId;
import org.snipeslip.core.peer.MemberStatus;
import org.snipeslip.core.peer.MemberUpdate;
import org.snipeslip.core.peer.MembershipMessage;
import org.snipeslip.core.peer.PeerAddress;
import org.snipeslip.core.store.ListedInstance;

/**
 * Failure detection by SWIM (Das, Gupta, Motivala 2002) with the local health multiplier of
 * Lifeguard (Dadgar, Phillips, Currey 2017). Not thread-safe: callers hold the lock of the control
 * engine.
 */
public final class Membership {
    private static final TimerId TICK = new TimerId(EngineName.CONTROL, "membership-tick");
    private static final TimerId INDIRECT_PROBE =
            new TimerId(EngineName.CONTROL, "membership-indirect");
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int LEAVE_ANNOUNCEMENTS = 16;

    /** Periods between two ticks above which the process is assumed to have been paused. */
    private static final int PAUSE_PERIODS = 2;

    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final MemberTable table;
    private final ProbeOrder probeOrder;
    private final LocalHealth health;
    private final CandidateAddresses candidates;
    private final GossipWriter gossipWriter;
    private final PendingRelays pendingRelays = new PendingRelays();
    private final Set<InstanceId> pingedInReturn = new HashSet<>();
    private MemberUpdate self;
    private long nextSequence = 1;
    private Probe probe;
    private long lastTickNanos;
    private long lastReceivedNanos;
    private long nextDeadProbeNanos;
    private long publishedVersion = -1;
    private MemberUpdate publishedSelf;
    private MemberView view = new MemberView(List.of());

    /**
     * Creates a membership whose only known member is this instance.
     *
     * @param own settings of this instance
     * @param generation supplies the generation of the configuration in force, which every message
     *     carries
     * @param random source of the random choices
     */
    public Membership(
            InstanceSettings own, Supplier<Generation> generation, RandomGenerator random) {
        this.settings = own.control().membership();
        this.random = random;
        this.table = new MemberTable(settings.memberLimit() - 1);
        this.probeOrder = new ProbeOrder(random);
        this.health = new LocalHealth(settings.maxHealthScore());
        this.candidates =
                new CandidateAddresses(
                        own.peerAddress(), own.control().seeds(), settings.memberLimit());
        this.gossipWriter = new GossipWriter(table, generation, random);
        this.self =
                new MemberUpdate(
                        own.id(),
                        own.peerAddress(),
                        own.failureDomain(),
                        own.region(),
                        own.incarnation(),
                        MemberStatus.ALIVE);
    }

    /**
     * Pings the candidate addresses and starts the periodic tick, at a random time within the first
     * period.
     */
    public void start(long nowNanos, Outbox outbox) {
        lastReceivedNanos = nowNanos;
        lastTickNanos = nowNanos;
        pingCandidates(nowNanos, outbox);
        long periodNanos = settings.periodMillis() * NANOS_PER_MILLI;
        outbox.add(new Action.SetTimer(TICK, random.nextLong(periodNanos)));
    }

    /**
     * Handles the timers of failure detection.
     *
     * @param timer the timer that fired; timers of other components are ignored
     */
    public void timerFired(TimerId timer, long nowNanos, Outbox outbox) {
        if (timer.equals(TICK)) {
            tick(nowNanos, outbox);
        } else if (timer.equals(INDIRECT_PROBE)) {
            requestIndirectProbes(outbox);
        }
    }

    /**
     * Applies the gossip of a message and answers the message. A sender that is still unknown after
     * its gossip was applied is ignored.
     *
     * @param from the authenticated sender
     */
    public void handleMessage(
            InstanceId from, MembershipMessage message, long nowNanos, Outbox outbox) {
        lastReceivedNanos = nowNanos;
        MemberUpdate before = table.get(from);
        boolean isNew = before == null || before.status() == MemberStatus.DEAD;
        applyUpdates(message.gossip().updates(), nowNanos);
        MemberUpdate sender = table.get(from);
        if (sender == null) {
            return;
        }
        switch (message) {
            case MembershipMessage.Ping m -> sendAck(sender, m.sequence(), isNew, outbox);
            case MembershipMessage.Ack m -> handleAck(from, m.sequence(), nowNanos, outbox);
            case MembershipMessage.PingRequest m -> relayPing(from, m, outbox);
        }
        if (isNew && pingedInReturn.add(from)) {
            // The ping carries what this instance knows of the sender, so that the sender can
            // refute it. At most one such ping per period and sender, so that two instances that
            // both do not refute cannot ping each other endlessly.
            nextDeadProbeNanos = nowNanos;
            sendPing(sender.id(), sender.address(), true, outbox);
        }
    }

    /**
     * Applies the platform's instance list: its addresses become candidates to ping, and members
     * that it lists as leaving are marked.
     *
     * @param instances the list, which lags behind the actual state
     */
    public void applyInstanceList(List<ListedInstance> instances) {
        Set<PeerAddress> addresses = new LinkedHashSet<>();
        Set<InstanceId> leaving = new LinkedHashSet<>();
        for (ListedInstance instance : instances) {
            addresses.add(new PeerAddress(instance.host(), instance.peerPort()));
            if (instance.leaving()) {
                leaving.add(instance.id());
            }
        }
        candidates.replaceListed(addresses);
        for (MemberUpdate member : table.select(status -> true)) {
            table.setListedLeaving(member.id(), leaving.contains(member.id()));
        }
    }

    /**
     * Marks this instance as leaving, so that it is not assigned ownership any more, and announces
     * this to random members at once. Further calls have no effect.
     */
    public void leave(Outbox outbox) {
        if (self.status() == MemberStatus.LEAVING) {
            return;
        }
        self = self.withIncarnation(self.incarnation() + 1).withStatus(MemberStatus.LEAVING);
        for (MemberUpdate peer : randomAlive(LEAVE_ANNOUNCEMENTS, self.id())) {
            sendPing(peer.id(), peer.address(), false, outbox);
        }
    }

    /**
     * Publishes the view if it changed since it was last published.
     *
     * @param outbox receives the new view
     * @return whether the view changed
     */
    public boolean publish(Outbox outbox) {
        if (table.version() == publishedVersion && self.equals(publishedSelf)) {
            return false;
        }
        publishedVersion = table.version();
        publishedSelf = self;
        List<MemberUpdate> members = new ArrayList<>();
        members.add(self);
        table.select(s -> s != MemberStatus.DEAD)
                .forEach(m -> members.add(table.withListedStatus(m)));
        members.sort((a, b) -> a.id().compareTo(b.id()));
        MemberView next = new MemberView(members);
        if (next.equals(view)) {
            return false;
        }
        view = next;
        outbox.reportMembersChanged(view);
        return true;
    }

    /** Returns the view that was published last, or an empty one before the first. */
    public MemberView view() {
        return view;
    }

    private void tick(long nowNanos, Outbox outbox) {
        long periodNanos = settings.periodMillis() * NANOS_PER_MILLI * health.multiplier();
        long sinceLastTickNanos = nowNanos - lastTickNanos;
        lastTickNanos = nowNanos;
        pingedInReturn.clear();
        if (sinceLastTickNanos > PAUSE_PERIODS * periodNanos) {
            health.degrade();
            table.extendSuspicions(sinceLastTickNanos);
            probe = null;
        } else {
            finishProbe(nowNanos, sinceLastTickNanos);
        }
        expireSuspects(nowNanos);
        startProbe(outbox);
        if (nowNanos >= nextDeadProbeNanos) {
            nextDeadProbeNanos = nowNanos + settings.deadProbeIntervalMillis() * NANOS_PER_MILLI;
            pingOneDead(outbox);
        }
        pingCandidates(nowNanos, outbox);
        outbox.add(
                new Action.SetTimer(
                        TICK, settings.periodMillis() * NANOS_PER_MILLI * health.multiplier()));
    }

    private void finishProbe(long nowNanos, long periodNanos) {
        if (probe == null || probe.answered) {
            return;
        }
        MemberUpdate target = table.get(probe.target);
        if (nowNanos - lastReceivedNanos >= periodNanos) {
            // No message arrived for a whole period, so the fault is more likely on this side.
            health.degrade();
        }
        if (target != null
                && (target.status() == MemberStatus.ALIVE
                        || target.status() == MemberStatus.LEAVING)) {
            applyUpdate(target.withStatus(MemberStatus.SUSPECT), nowNanos);
        }
    }

    private void expireSuspects(long nowNanos) {
        long periodNanos = settings.periodMillis() * NANOS_PER_MILLI;
        double scale = Math.max(1, Math.log10(table.size() + 1.0));
        long timeoutNanos =
                (long) (settings.suspicionPeriods() * scale * periodNanos * health.multiplier());
        for (MemberUpdate suspect : table.overdueSuspects(nowNanos, timeoutNanos)) {
            applyUpdate(suspect.withStatus(MemberStatus.DEAD), nowNanos);
        }
        table.forgetDead(nowNanos, settings.deadRetentionMillis() * NANOS_PER_MILLI);
    }

    private void startProbe(Outbox outbox) {
        MemberUpdate target = probeOrder.next(table);
        probe = null;
        if (target != null) {
            probe = new Probe(target.id(), nextSequence);
            sendPing(target.id(), target.address(), false, outbox);
            long ackMillis = settings.ackTimeoutMillis() * health.multiplier();
            outbox.add(new Action.SetTimer(INDIRECT_PROBE, ackMillis * NANOS_PER_MILLI));
        }
    }

    private void requestIndirectProbes(Outbox outbox) {
        if (probe == null || probe.answered) {
            return;
        }
        for (MemberUpdate helper : randomAlive(settings.indirectProbeCount(), probe.target)) {
            probe.helpers.add(helper.id());
            outbox.add(
                    new Action.SendPeerMessage(
                            helper.id(),
                            helper.address(),
                            new MembershipMessage.PingRequest(
                                    probe.sequence,
                                    probe.target,
                                    gossipWriter.write(self, helper.id(), false))));
        }
    }

    private void pingOneDead(Outbox outbox) {
        List<MemberUpdate> dead = table.select(s -> s == MemberStatus.DEAD);
        if (!dead.isEmpty()) {
            MemberUpdate target = dead.get(random.nextInt(dead.size()));
            sendPing(target.id(), target.address(), false, outbox);
        }
    }

    private void pingCandidates(long nowNanos, Outbox outbox) {
        for (PeerAddress address : candidates.selectDue(table, nowNanos)) {
            sendPing(null, address, false, outbox);
        }
    }

    private void sendPing(InstanceId to, PeerAddress address, boolean fill, Outbox outbox) {
        outbox.add(
                new Action.SendPeerMessage(
                        to,
                        address,
                        new MembershipMessage.Ping(
                                nextSequence++, gossipWriter.write(self, to, fill))));
    }

    private void sendAck(MemberUpdate sender, long sequence, boolean fill, Outbox outbox) {
        outbox.add(
                new Action.SendPeerMessage(
                        sender.id(),
                        sender.address(),
                        new MembershipMessage.Ack(
                                sequence, gossipWriter.write(self, sender.id(), fill))));
    }

    private void handleAck(InstanceId from, long sequence, long nowNanos, Outbox outbox) {
        PendingRelays.Relay relay = pendingRelays.complete(sequence, from);
        if (relay != null) {
            MemberUpdate requester = table.get(relay.requester());
            if (requester != null) {
                sendAck(requester, relay.sequence(), false, outbox);
            }
        } else if (probe != null
                && !probe.answered
                && probe.sequence == sequence
                && (probe.target.equals(from) || probe.helpers.contains(from))) {
            probe.answered = true;
            health.improve();
        }
    }

    private void relayPing(InstanceId from, MembershipMessage.PingRequest request, Outbox outbox) {
        MemberUpdate target = table.get(request.target());
        if (target != null) {
            pendingRelays.add(
                    nextSequence, new PendingRelays.Relay(from, target.id(), request.sequence()));
            sendPing(target.id(), target.address(), false, outbox);
        }
    }

    private void applyUpdates(List<MemberUpdate> updates, long nowNanos) {
        for (MemberUpdate update : updates) {
            if (update.id().equals(self.id())) {
                refuteIfNeeded(update);
            } else {
                applyUpdate(update, nowNanos);
            }
        }
    }

    /**
     * Raises the own incarnation if an update shows this instance as suspected or dead, or comes
     * from an earlier process with the same id that had a higher incarnation.
     */
    private void refuteIfNeeded(MemberUpdate update) {
        boolean isSuspected =
                update.incarnation() == self.incarnation()
                        && update.status().compareTo(MemberStatus.SUSPECT) >= 0;
        if (update.incarnation() > self.incarnation() || isSuspected) {
            self = self.withIncarnation(update.incarnation() + 1);
            health.degrade();
        }
    }

    private void applyUpdate(MemberUpdate update, long nowNanos) {
        boolean isNew = table.get(update.id()) == null;
        if (table.apply(update, nowNanos)) {
            gossipWriter.add(update);
            if (isNew) {
                probeOrder.add(update.id());
            }
        }
    }

    private List<MemberUpdate> randomAlive(int count, InstanceId excluded) {
        List<MemberUpdate> alive = table.select(s -> s == MemberStatus.ALIVE);
        alive.removeIf(member -> member.id().equals(excluded));
        ProbeOrder.shuffle(alive, random);
        return alive.subList(0, Math.min(count, alive.size()));
    }

    /** The ping of the current period and the members that were asked to ping the same target. */
    private static final class Probe {
        private final InstanceId target;
        private final long sequence;
        private final List<InstanceId> helpers = new ArrayList<>();
        private boolean answered;

        Probe(InstanceId target, long sequence) {
            this.target = target;
            this.sequence = sequence;
        }
    }
}
