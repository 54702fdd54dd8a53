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
 * Lifeguard (Dadgar, Phillips, Currey 2017). Guarded by the lock of its engine.
 */
public final class Membership {
    private static final TimerId TICK = new TimerId(EngineName.CONTROL, "membership-tick");
    private static final TimerId INDIRECT = new TimerId(EngineName.CONTROL, "membership-indirect");
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int LEAVE_PINGS = 16;

    /** A gap of this many periods between two ticks means that the process was paused. */
    private static final int PAUSE_PERIODS = 2;

    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final MemberTable table;
    private final ProbeOrder order;
    private final LocalHealth health;
    private final Candidates candidates;
    private final GossipWriter gossip;
    private final Relays relays = new Relays();
    private final Set<InstanceId> pingedBack = new HashSet<>();
    private MemberUpdate self;
    private long nextSequence = 1;
    private Probe probe;
    private long tickNanos;
    private long heardNanos;
    private long deadProbeNanos;
    private long publishedVersion = -1;
    private MemberUpdate publishedSelf;
    private MemberView view = new MemberView(List.of());

    /**
     * Creates a membership that knows only this instance.
     *
     * @param own settings of the instance
     * @param generation tells the configuration in force, for gossip
     * @param random random choices
     */
    public Membership(
            InstanceSettings own, Supplier<Generation> generation, RandomGenerator random) {
        this.settings = own.control().membership();
        this.random = random;
        this.table = new MemberTable(settings.memberLimit() - 1);
        this.order = new ProbeOrder(random);
        this.health = new LocalHealth(settings.healthMax());
        this.candidates =
                new Candidates(own.peerAddress(), own.control().seeds(), settings.memberLimit());
        this.gossip = new GossipWriter(table, generation, random);
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
     * Begins to ping.
     *
     * @param nowNanos the time
     * @param outbox takes the actions
     */
    public void start(long nowNanos, Outbox outbox) {
        heardNanos = nowNanos;
        tickNanos = nowNanos;
        pingCandidates(nowNanos, outbox);
        long periodNanos = settings.periodMillis() * NANOS_PER_MILLI;
        outbox.add(new Action.SetTimer(TICK, random.nextLong(periodNanos)));
    }

    /**
     * Takes a timer.
     *
     * @param timer the timer; others are ignored
     * @param nowNanos the time
     * @param outbox takes the actions
     */
    public void timerFired(TimerId timer, long nowNanos, Outbox outbox) {
        if (timer.equals(TICK)) {
            tick(nowNanos, outbox);
        } else if (timer.equals(INDIRECT)) {
            askHelpers(outbox);
        }
    }

    /**
     * Takes a message.
     *
     * @param from the authenticated sender
     * @param message the message
     * @param nowNanos the time
     * @param outbox takes the actions
     */
    public void received(InstanceId from, MembershipMessage message, long nowNanos, Outbox outbox) {
        heardNanos = nowNanos;
        MemberUpdate before = table.get(from);
        boolean isNew = before == null || before.status() == MemberStatus.DEAD;
        learn(message.gossip().updates(), nowNanos);
        MemberUpdate sender = table.get(from);
        if (sender == null) {
            return;
        }
        switch (message) {
            case MembershipMessage.Ping m -> ack(sender, m.sequence(), isNew, outbox);
            case MembershipMessage.Ack m -> acked(from, m.sequence(), nowNanos, outbox);
            case MembershipMessage.PingRequest m -> relay(from, m, outbox);
        }
        if (isNew && pingedBack.add(from)) {
            // The ping carries what this instance holds of the sender, so that it can refute. Once
            // a period is enough, and ends an exchange in which neither side refutes.
            deadProbeNanos = nowNanos;
            ping(sender.id(), sender.address(), true, outbox);
        }
    }

    /**
     * Takes the platform's instance list: candidates to ping, and notes of leaving.
     *
     * @param instances the list, which lags
     */
    public void listed(List<ListedInstance> instances) {
        Set<PeerAddress> addresses = new LinkedHashSet<>();
        Set<InstanceId> leaving = new LinkedHashSet<>();
        for (ListedInstance instance : instances) {
            addresses.add(new PeerAddress(instance.host(), instance.peerPort()));
            if (instance.leaving()) {
                leaving.add(instance.id());
            }
        }
        candidates.listed(addresses);
        for (MemberUpdate member : table.select(status -> true)) {
            table.listed(member.id(), leaving.contains(member.id()));
        }
    }

    /**
     * Announces that this instance takes no further ownership.
     *
     * @param outbox takes the actions
     */
    public void leave(Outbox outbox) {
        if (self.status() == MemberStatus.LEAVING) {
            return;
        }
        self = self.at(self.incarnation() + 1).withStatus(MemberStatus.LEAVING);
        for (MemberUpdate peer : randomAlive(LEAVE_PINGS, self.id())) {
            ping(peer.id(), peer.address(), false, outbox);
        }
    }

    /**
     * Publishes the view if it changed since the last time.
     *
     * @param outbox takes the view
     * @return whether it changed
     */
    public boolean publish(Outbox outbox) {
        if (table.version() == publishedVersion && self.equals(publishedSelf)) {
            return false;
        }
        publishedVersion = table.version();
        publishedSelf = self;
        List<MemberUpdate> members = new ArrayList<>();
        members.add(self);
        table.select(s -> s != MemberStatus.DEAD).forEach(m -> members.add(table.asSeen(m)));
        members.sort((a, b) -> a.id().compareTo(b.id()));
        MemberView next = new MemberView(members);
        if (next.equals(view)) {
            return false;
        }
        view = next;
        outbox.membersChanged(view);
        return true;
    }

    /**
     * Returns the view last published.
     *
     * @return the view
     */
    public MemberView view() {
        return view;
    }

    private void tick(long nowNanos, Outbox outbox) {
        long periodNanos = settings.periodMillis() * NANOS_PER_MILLI * health.multiplier();
        long gapNanos = nowNanos - tickNanos;
        tickNanos = nowNanos;
        pingedBack.clear();
        if (gapNanos > PAUSE_PERIODS * periodNanos) {
            health.worse();
            table.extendSuspicions(gapNanos);
            probe = null;
        } else {
            concludeProbe(nowNanos, gapNanos);
        }
        expire(nowNanos);
        startProbe(outbox);
        if (nowNanos >= deadProbeNanos) {
            deadProbeNanos = nowNanos + settings.deadProbeMillis() * NANOS_PER_MILLI;
            pingOneDead(outbox);
        }
        pingCandidates(nowNanos, outbox);
        outbox.add(
                new Action.SetTimer(
                        TICK, settings.periodMillis() * NANOS_PER_MILLI * health.multiplier()));
    }

    private void concludeProbe(long nowNanos, long periodNanos) {
        if (probe == null || probe.answered) {
            return;
        }
        MemberUpdate target = table.get(probe.target);
        if (nowNanos - heardNanos >= periodNanos) {
            // Nobody was heard for a whole period: the fault is more likely here.
            health.worse();
        }
        if (target != null
                && (target.status() == MemberStatus.ALIVE
                        || target.status() == MemberStatus.LEAVING)) {
            changed(target.withStatus(MemberStatus.SUSPECT), nowNanos);
        }
    }

    private void expire(long nowNanos) {
        long periodNanos = settings.periodMillis() * NANOS_PER_MILLI;
        double scale = Math.max(1, Math.log10(table.size() + 1.0));
        long timeoutNanos =
                (long) (settings.suspicionPeriods() * scale * periodNanos * health.multiplier());
        for (MemberUpdate suspect : table.overdueSuspects(nowNanos, timeoutNanos)) {
            changed(suspect.withStatus(MemberStatus.DEAD), nowNanos);
        }
        table.forgetDead(nowNanos, settings.forgetMillis() * NANOS_PER_MILLI);
    }

    private void startProbe(Outbox outbox) {
        MemberUpdate target = order.next(table);
        probe = null;
        if (target != null) {
            probe = new Probe(target.id(), nextSequence);
            ping(target.id(), target.address(), false, outbox);
            long ackMillis = settings.ackMillis() * health.multiplier();
            outbox.add(new Action.SetTimer(INDIRECT, ackMillis * NANOS_PER_MILLI));
        }
    }

    private void askHelpers(Outbox outbox) {
        if (probe == null || probe.answered) {
            return;
        }
        for (MemberUpdate helper : randomAlive(settings.helpers(), probe.target)) {
            probe.helpers.add(helper.id());
            outbox.add(
                    new Action.SendPeer(
                            helper.id(),
                            helper.address(),
                            new MembershipMessage.PingRequest(
                                    probe.sequence,
                                    probe.target,
                                    gossip.write(self, helper.id(), false))));
        }
    }

    private void pingOneDead(Outbox outbox) {
        List<MemberUpdate> dead = table.select(s -> s == MemberStatus.DEAD);
        if (!dead.isEmpty()) {
            MemberUpdate target = dead.get(random.nextInt(dead.size()));
            ping(target.id(), target.address(), false, outbox);
        }
    }

    private void pingCandidates(long nowNanos, Outbox outbox) {
        for (PeerAddress address : candidates.due(table, nowNanos)) {
            ping(null, address, false, outbox);
        }
    }

    private void ping(InstanceId to, PeerAddress address, boolean full, Outbox outbox) {
        outbox.add(
                new Action.SendPeer(
                        to,
                        address,
                        new MembershipMessage.Ping(nextSequence++, gossip.write(self, to, full))));
    }

    private void ack(MemberUpdate sender, long sequence, boolean full, Outbox outbox) {
        outbox.add(
                new Action.SendPeer(
                        sender.id(),
                        sender.address(),
                        new MembershipMessage.Ack(
                                sequence, gossip.write(self, sender.id(), full))));
    }

    private void acked(InstanceId from, long sequence, long nowNanos, Outbox outbox) {
        Relays.Relay relay = relays.take(sequence, from);
        if (relay != null) {
            MemberUpdate requester = table.get(relay.requester());
            if (requester != null) {
                ack(requester, relay.sequence(), false, outbox);
            }
        } else if (probe != null
                && !probe.answered
                && probe.sequence == sequence
                && (probe.target.equals(from) || probe.helpers.contains(from))) {
            probe.answered = true;
            health.better();
        }
    }

    private void relay(InstanceId from, MembershipMessage.PingRequest request, Outbox outbox) {
        MemberUpdate target = table.get(request.target());
        if (target != null) {
            relays.add(nextSequence, new Relays.Relay(from, target.id(), request.sequence()));
            ping(target.id(), target.address(), false, outbox);
        }
    }

    private void learn(List<MemberUpdate> updates, long nowNanos) {
        for (MemberUpdate update : updates) {
            if (update.id().equals(self.id())) {
                refute(update);
            } else {
                changed(update, nowNanos);
            }
        }
    }

    /** A suspicion, or an update of an earlier process of this name, needs a newer incarnation. */
    private void refute(MemberUpdate update) {
        boolean isAccused =
                update.incarnation() == self.incarnation()
                        && update.status().compareTo(MemberStatus.SUSPECT) >= 0;
        if (update.incarnation() > self.incarnation() || isAccused) {
            self = self.at(update.incarnation() + 1);
            health.worse();
        }
    }

    private void changed(MemberUpdate update, long nowNanos) {
        boolean isNew = table.get(update.id()) == null;
        if (table.apply(update, nowNanos)) {
            gossip.add(update);
            if (isNew) {
                order.add(update.id());
            }
        }
    }

    private List<MemberUpdate> randomAlive(int count, InstanceId except) {
        List<MemberUpdate> alive = table.select(s -> s == MemberStatus.ALIVE);
        alive.removeIf(member -> member.id().equals(except));
        ProbeOrder.shuffle(alive, random);
        return alive.subList(0, Math.min(count, alive.size()));
    }

    /** The ping of the current period. */
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
