package org.snipeslip.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import org.snipeslip.core.call.InstanceShare;
import org.snipeslip.core.call.VirtualTime;
import org.snipeslip.core.config.CallQuota;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.Organisation;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.suspect.SuspectPeer;

/**
 * Instances that lend one another quotas in virtual time, over links that delay and lose messages,
 * with instances that are killed, restarted, frozen or cut off, and new ones.
 */
final class SimulatedFleet {
    static final long MILLI = 1_000_000;
    static final long SECOND = 1_000 * MILLI;
    static final QuotaSettings SETTINGS = new QuotaSettings(5_000, 0.1, 20);

    private static final int REGIONS = 3;
    private static final long TIMEOUT_NANOS = 300 * MILLI;
    private static final long LIST_NANOS = 25 * SECOND;

    /** A change binds this time after it was acknowledged, and then for one window. */
    private static final long CHANGE_NANOS = 3 * SECOND;

    /** A call that is still not admitted then is refused. */
    private static final long MAX_WAIT_NANOS = 200 * MILLI;

    private static final long WINDOW_NANOS = 5 * SECOND;

    final SplittableRandom random;
    final VirtualTime time = new VirtualTime();
    final List<Node> nodes = new ArrayList<>();
    final Map<OrganisationId, Record> records = new HashMap<>();
    double lossProbability;
    private ConfigSet config = ConfigSet.EMPTY;

    SimulatedFleet(int instances, long seed) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < instances; i++) {
            nodes.add(new Node("n" + i, new RegionId("r" + i % REGIONS)));
        }
        for (Node node : nodes) {
            node.start();
            node.readList(QuotaStanding.NEW);
        }
    }

    /** Changes all quotas; each instance learns of it within the time allowed. */
    void setQuotas(Map<OrganisationId, CallQuota> quotas) {
        List<Organisation> organisations = new ArrayList<>();
        quotas.forEach(
                (id, quota) -> {
                    records.computeIfAbsent(id, Record::new).changed(quota, time.nowNanos());
                    organisations.add(
                            new Organisation(
                                    id, Set.of(), 1, OptionalInt.empty(), Set.of(), quota));
                });
        boolean first = config == ConfigSet.EMPTY;
        ConfigSet next = ConfigSet.of(Generation.NONE, organisations);
        config = next;
        for (Node node : nodes) {
            long delay = first ? 0 : random.nextLong(CHANGE_NANOS);
            time.schedule(delay, () -> node.whenAwake(() -> node.configure(next)));
            if (first) {
                time.schedule(delay, () -> node.whenAwake(() -> node.readList(QuotaStanding.NEW)));
            }
        }
    }

    /** Adds an instance of which the others learn when they read the list again. */
    void join() {
        Node node = new Node("n" + nodes.size(), new RegionId("r" + nodes.size() % REGIONS));
        nodes.add(node);
        node.start();
        node.readList(QuotaStanding.NEW);
    }

    /** Sends calls of an organisation to an instance, at random times around a rate. */
    void callAt(OrganisationId organisation, Node node) {
        node.whenAwake(() -> node.call(new Call(organisation, time.nowNanos())));
    }

    /** Asserts that no window has more calls of any organisation than allowed. */
    void checkWindows() {
        records.values().forEach(Record::check);
    }

    private boolean canReach(Node from, Node to) {
        return from.cut == to.cut && random.nextDouble() >= lossProbability;
    }

    private long delayNanos(Node from, Node to) {
        long base = from.region.equals(to.region) ? MILLI / 2 : 12 * MILLI;
        // A few messages overtake each other.
        long slow =
                lossProbability > 0 && random.nextInt(100) == 0 ? random.nextLong(2 * SECOND) : 0;
        return base + random.nextLong(MILLI) + slow;
    }

    /** A call that waits for the decision. */
    record Call(OrganisationId organisation, long arrivedNanos) {}

    /** Admitted and refused calls of one organisation. */
    static final class Record {
        int refused;
        private final OrganisationId id;
        private final List<Long> admittedNanos = new ArrayList<>();
        private final List<Long> changedNanos = new ArrayList<>();
        private final List<CallQuota> quotas = new ArrayList<>();

        Record(OrganisationId id) {
            this.id = id;
        }

        int admitted() {
            return admittedNanos.size();
        }

        private void changed(CallQuota quota, long nowNanos) {
            changedNanos.add(nowNanos);
            quotas.add(quota);
        }

        private void check() {
            long[] times = admittedNanos.stream().mapToLong(Long::longValue).sorted().toArray();
            int first = 0;
            for (int last = 0; last < times.length; last++) {
                while (times[last] - times[first] > WINDOW_NANOS) {
                    first++;
                }
                assertThat(last - first + 1)
                        .as("calls of %s until %d ms", id, times[last] / MILLI)
                        .isLessThanOrEqualTo(allowed(times[last]));
            }
        }

        /** Returns the most calls in a window that ends at a time. */
        private int allowed(long endNanos) {
            double most = 0;
            for (int i = 0; i < quotas.size(); i++) {
                boolean begun = changedNanos.get(i) <= endNanos;
                boolean bindsNext =
                        i + 1 < quotas.size()
                                && changedNanos.get(i + 1) + CHANGE_NANOS + WINDOW_NANOS
                                        <= endNanos - WINDOW_NANOS;
                if (begun && !bindsNext) {
                    CallQuota quota = quotas.get(i);
                    double calls = quota.callsPerSecond() * WINDOW_NANOS / SECOND + quota.burst();
                    most = Math.max(most, calls * (1 + SETTINGS.overRatio()) + SETTINGS.slack());
                }
            }
            return (int) most;
        }
    }

    /** An instance. */
    final class Node {
        final String name;
        final RegionId region;

        /** Instances of different numbers do not reach each other, nor the list. */
        int cut;

        private final Deque<Call> waiting = new ArrayDeque<>();
        private boolean alive;
        private long awakeNanos;
        private long timerNanos;
        private Quotas quotas;

        private Node(String name, RegionId region) {
            this.name = name;
            this.region = region;
        }

        void start() {
            alive = true;
            awakeNanos = time.nowNanos();
            timerNanos = Long.MAX_VALUE;
            quotas = new Quotas(new InstanceId(name), region, SETTINGS, random.nextLong());
            configure(config);
            readListsFrom(random.nextLong(LIST_NANOS), quotas);
        }

        void kill() {
            alive = false;
            waiting.clear();
            quotas = null;
        }

        void restart() {
            start();
            readList(QuotaStanding.RESTARTED);
        }

        void freeze(long nanos) {
            awakeNanos = time.nowNanos() + nanos;
        }

        boolean isAlive() {
            return alive;
        }

        private void configure(ConfigSet next) {
            quotas.configure(next);
        }

        private void readListsFrom(long delayNanos, Quotas process) {
            time.schedule(
                    delayNanos,
                    () ->
                            whenAwake(
                                    () -> {
                                        if (quotas == process) {
                                            readList(QuotaStanding.UNKNOWN);
                                            readListsFrom(LIST_NANOS, process);
                                        }
                                    }));
        }

        private void readList(QuotaStanding standing) {
            if (cut != 0) {
                return;
            }
            List<SuspectPeer> others =
                    nodes.stream()
                            .filter(node -> node != this)
                            .map(node -> new SuspectPeer(node.name, node.region, node.name))
                            .toList();
            List<InstanceShare.Member> members =
                    others.stream()
                            .map(o -> new InstanceShare.Member(o.name(), o.region().value()))
                            .toList();
            InstanceShare.Member own = new InstanceShare.Member(name, region.value());
            InstanceShare share = new InstanceShare(nodes.size(), own, members, true);
            Outbox outbox = new Outbox();
            quotas.setMembers(share, others, standing, time.nowNanos(), outbox);
            execute(outbox);
        }

        /** Runs a task now, or when the instance is no longer frozen; drops it if it was killed. */
        private void whenAwake(Runnable task) {
            Quotas process = quotas;
            if (!alive) {
                return;
            }
            if (awakeNanos > time.nowNanos()) {
                time.schedule(
                        awakeNanos - time.nowNanos(),
                        () -> {
                            if (quotas == process) {
                                whenAwake(task);
                            }
                        });
                return;
            }
            task.run();
        }

        private void call(Call call) {
            Outbox outbox = new Outbox();
            decide(call, false, outbox);
            execute(outbox);
        }

        private void decide(Call call, boolean again, Outbox outbox) {
            Record record = records.get(call.organisation);
            long now = time.nowNanos();
            switch (quotas.admit(call.organisation, again, now, outbox)) {
                case Admission.Admitted admitted -> record.admittedNanos.add(now);
                case Admission.Refused refused -> {
                    if (again && now - call.arrivedNanos < MAX_WAIT_NANOS) {
                        waiting.add(call);
                    } else {
                        record.refused++;
                    }
                }
                case Admission.Waiting wait -> {
                    waiting.add(call);
                    time.schedule(wait.untilNanos() - now, () -> whenAwake(this::decideWaiting));
                }
            }
        }

        private void decideWaiting() {
            Outbox outbox = new Outbox();
            List<Call> calls = new ArrayList<>(waiting);
            waiting.clear();
            calls.forEach(call -> decide(call, true, outbox));
            execute(outbox);
        }

        private void execute(Outbox outbox) {
            Quotas process = quotas;
            for (Action action : outbox.actions()) {
                switch (action) {
                    case Action.SetTimer timer -> setTimer(timer.delayNanos(), process);
                    case Action.AskQuota ask -> send(ask, process);
                    default -> throw new AssertionError(action);
                }
            }
        }

        /** Sets the timer, unless a pending one fires earlier. */
        private void setTimer(long delayNanos, Quotas process) {
            long atNanos = time.nowNanos() + delayNanos;
            if (timerNanos <= atNanos) {
                return;
            }
            timerNanos = atNanos;
            time.schedule(
                    delayNanos,
                    () ->
                            whenAwake(
                                    () -> {
                                        if (quotas == process && timerNanos == atNanos) {
                                            timerNanos = Long.MAX_VALUE;
                                            timerFired();
                                        }
                                    }));
        }

        private void timerFired() {
            Outbox outbox = new Outbox();
            quotas.timerFired(time.nowNanos(), outbox);
            execute(outbox);
        }

        private void send(Action.AskQuota ask, Quotas process) {
            Node to = nodes.stream().filter(n -> n.name.equals(ask.instance())).findAny().get();
            boolean[] ended = new boolean[1];
            time.schedule(TIMEOUT_NANOS, () -> answered(ask, null, process, ended));
            if (!canReach(this, to)) {
                return;
            }
            time.schedule(
                    delayNanos(this, to),
                    () ->
                            to.whenAwake(
                                    () -> {
                                        Outbox outbox = new Outbox();
                                        QuotaAnswer answer =
                                                to.quotas.answer(
                                                        ask.ask(), time.nowNanos(), outbox);
                                        to.execute(outbox);
                                        if (canReach(to, this)) {
                                            time.schedule(
                                                    delayNanos(to, this),
                                                    () -> answered(ask, answer, process, ended));
                                        }
                                    }));
        }

        private void answered(
                Action.AskQuota ask, QuotaAnswer answer, Quotas process, boolean[] ended) {
            whenAwake(
                    () -> {
                        if (quotas == process && !ended[0]) {
                            ended[0] = true;
                            Outbox outbox = new Outbox();
                            quotas.answered(ask, answer, time.nowNanos(), outbox);
                            execute(outbox);
                            decideWaiting();
                        }
                    });
        }
    }

    /** Returns an organisation. */
    static OrganisationId organisation(int number) {
        return new OrganisationId("org" + number);
    }

    /** Returns weights that are as uneven as a hash of a number of connections. */
    int[] connections(int count) {
        int[] targets = new int[count];
        Arrays.setAll(targets, i -> random.nextInt(nodes.size()));
        return targets;
    }
}
