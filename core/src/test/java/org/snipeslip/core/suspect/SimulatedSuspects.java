package org.snipeslip.core.suspect;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RequestDigest;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Outbox;

/**
 * Instances that share suspicions in virtual time, over links that delay and lose messages, with
 * instances that are restarted, frozen or cut off.
 */
final class SimulatedSuspects {
    static final long MILLI = 1_000_000;
    static final long SECOND = 1_000 * MILLI;

    /** A machine is in touch if nothing has happened to it for this time. */
    static final long CONTACT_NANOS = 3 * SECOND;

    private static final long RUN_NANOS = 60 * MILLI;
    private static final long CHECK_NANOS = 30 * MILLI;
    private static final long TIMEOUT_NANOS = 300 * MILLI;
    private static final RegionId REGION = new RegionId("r");

    final SplittableRandom random;
    final List<Node> nodes = new ArrayList<>();
    long nowNanos;
    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long sequence;
    private int servers;

    SimulatedSuspects(int instances, long seed) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < instances; i++) {
            nodes.add(new Node("n" + i));
        }
        nodes.forEach(Node::restart);
    }

    void at(long atNanos, Runnable task) {
        tasks.add(new Task(atNanos, sequence++, task));
    }

    void runUntil(long endNanos) {
        while (!tasks.isEmpty() && tasks.peek().atNanos <= endNanos) {
            Task next = tasks.poll();
            nowNanos = next.atNanos;
            next.task.run();
        }
        nowNanos = endNanos;
    }

    Node randomNode() {
        return nodes.get(random.nextInt(nodes.size()));
    }

    private long delayNanos() {
        return (1 + random.nextInt(40)) * MILLI;
    }

    private record Task(long atNanos, long sequence, Runnable task) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int order = Long.compare(atNanos, other.atNanos);
            return order != 0 ? order : Long.compare(sequence, other.sequence);
        }
    }

    /** One instance. */
    final class Node {
        private final String name;
        private SuspectTable table;
        private SuspectSharing sharing;
        private long timerNanos = Long.MAX_VALUE;
        private long cutUntilNanos;
        private long frozenUntilNanos;
        private long disturbedNanos = -SECOND;

        Node(String name) {
            this.name = name;
        }

        void restart() {
            disturb();
            table = new SuspectTable(random.nextLong());
            sharing = new SuspectSharing(new InstanceId(name), REGION, table, random.nextLong());
            sharing.setPeers(
                    nodes.stream()
                            .filter(node -> node != this)
                            .map(node -> new SuspectPeer(node.name, REGION, node.name))
                            .toList());
            Outbox outbox = new Outbox();
            sharing.start(nowNanos, outbox);
            execute(outbox);
        }

        void cutFor(long nanos) {
            cutUntilNanos = nowNanos + nanos;
            disturb();
            at(cutUntilNanos, this::disturb);
        }

        void freezeFor(long nanos) {
            frozenUntilNanos = nowNanos + nanos;
            disturb();
            at(frozenUntilNanos, this::disturb);
        }

        boolean isInTouch() {
            return nowNanos - disturbedNanos >= CONTACT_NANOS && nowNanos >= frozenUntilNanos;
        }

        boolean takesCalls() {
            return nowNanos >= frozenUntilNanos;
        }

        private void disturb() {
            disturbedNanos = nowNanos;
        }

        /**
         * Takes a call.
         *
         * @param crashes whether the server crashes while it runs the call
         * @return whether the call was sent to a server
         */
        boolean call(RequestDigest digest, boolean crashes) {
            long epoch = 0;
            int level = 0;
            switch (table.verdict(digest, nowNanos)) {
                case Verdict.Refuse refuse -> {
                    return false;
                }
                case Verdict.Run run -> {
                    epoch = run.epoch();
                    level = run.level();
                }
                case Verdict.RunAlone run -> {
                    epoch = run.epoch();
                    level = run.level();
                }
            }
            SuspectTable knownTo = table;
            long sentEpoch = epoch;
            int sentLevel = level;
            at(
                    nowNanos + RUN_NANOS + (crashes ? CHECK_NANOS : 0),
                    () -> {
                        if (table == knownTo) {
                            ended(digest, crashes, sentEpoch, sentLevel);
                        }
                    });
            return true;
        }

        private void ended(RequestDigest digest, boolean crashed, long epoch, int level) {
            Suspicion changed =
                    crashed
                            ? table.crashed(digest, Set.of(), epoch, level + 1, nowNanos)
                            : table.cleared(digest, nowNanos);
            if (changed == null) {
                return;
            }
            BackendServerId server = crashed ? new BackendServerId("s" + servers++) : null;
            Outbox outbox = new Outbox();
            sharing.share(
                    new SuspectChange(changed, SuspectChange.Source.CRASH, null, server),
                    nowNanos,
                    outbox);
            execute(outbox);
        }

        private void execute(Outbox outbox) {
            for (Action action : outbox.actions()) {
                switch (action) {
                    case Action.SendSuspectMessage send -> send(send);
                    case Action.PullSuspicions pull -> pull(pull);
                    case Action.SetTimer timer -> setTimer(timer.delayNanos());
                    default -> {
                        // Log lines.
                    }
                }
            }
        }

        private void send(Action.SendSuspectMessage send) {
            Node target = find(send.address());
            SuspectSharing sender = sharing;
            boolean lost = isCut() || target.isCut() || random.nextInt(20) == 0;
            long arrivalNanos = nowNanos + delayNanos();
            if (lost || arrivalNanos < target.frozenUntilNanos) {
                at(nowNanos + TIMEOUT_NANOS, () -> sendEnded(sender, send, false));
            }
            if (!lost) {
                at(Math.max(arrivalNanos, target.frozenUntilNanos), () -> target.receive(send));
                at(arrivalNanos + delayNanos(), () -> sendEnded(sender, send, true));
            }
        }

        private void receive(Action.SendSuspectMessage send) {
            Outbox outbox = new Outbox();
            sharing.received(send.message(), nowNanos, outbox);
            execute(outbox);
        }

        private void sendEnded(
                SuspectSharing sender, Action.SendSuspectMessage send, boolean delivered) {
            if (sender == sharing) {
                Outbox outbox = new Outbox();
                sharing.sendEnded(send, delivered, nowNanos, outbox);
                execute(outbox);
            }
        }

        private void pull(Action.PullSuspicions pull) {
            Node target = find(pull.address());
            if (isCut() || target.isCut() || !target.takesCalls()) {
                return;
            }
            List<SuspectMessage> known = target.sharing.messagesFor(REGION);
            SuspectSharing asking = sharing;
            at(
                    nowNanos + delayNanos(),
                    () -> {
                        if (asking == sharing) {
                            Outbox outbox = new Outbox();
                            sharing.pulled(known, nowNanos, outbox);
                            execute(outbox);
                        }
                    });
        }

        private void setTimer(long delayNanos) {
            long due = nowNanos + delayNanos;
            timerNanos = due;
            SuspectSharing owner = sharing;
            at(
                    due,
                    () -> {
                        if (owner == sharing && timerNanos == due) {
                            Outbox outbox = new Outbox();
                            sharing.timerFired(nowNanos, outbox);
                            execute(outbox);
                        }
                    });
        }

        private boolean isCut() {
            return nowNanos < cutUntilNanos;
        }

        private Node find(String address) {
            return nodes.stream().filter(n -> n.name.equals(address)).findFirst().orElseThrow();
        }
    }
}
