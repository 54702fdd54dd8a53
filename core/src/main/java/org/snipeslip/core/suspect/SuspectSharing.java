package org.snipeslip.core.suspect;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.EngineName;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.instance.TimerId;

/**
 * Decides what instances tell one another about suspected requests. A first crash is reported to
 * two instances that rendezvous hashing selects; they tell all others once two servers have
 * crashed. From the second level on, the instance that has seen the crash tells all others itself.
 * A success is reported to the same two instances. Nothing is sent while no server crashes, except
 * that an instance asks others for what they know in the first seconds after its start. Guarded by
 * its own lock, which is acquired after those of the shards.
 */
public final class SuspectSharing {
    private static final TimerId TIMER = new TimerId(EngineName.SUSPECTS, "suspects");
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NEVER = Long.MAX_VALUE;

    /** Two, so that a count survives the loss of one of them. */
    private static final int COUNTING_INSTANCES = 2;

    /** Instances that are asked to count if others do not answer. */
    private static final int MAX_COUNTING_CANDIDATES = 5;

    /** A frozen or cut instance is told within this time of its return. */
    private static final long RESEND_NANOS = 1_000 * NANOS_PER_MILLI;

    /** Longer than a freeze or a cut of seconds; a restarted instance asks by itself. */
    private static final int MAX_SENDS = 30;

    /** Messages that wait to be sent again; beyond, the oldest is given up. */
    private static final int MAX_UNDELIVERED = 2_048;

    private static final long FIRST_PULL_NANOS = 500 * NANOS_PER_MILLI;
    private static final long PULL_NANOS = 1_000 * NANOS_PER_MILLI;

    /** The first ones are more frequent, because others may have just started as well. */
    private static final long FREQUENT_PULLS_NANOS = 6_000 * NANOS_PER_MILLI;

    private static final long LATER_PULL_NANOS = 3_000 * NANOS_PER_MILLI;

    /** Other instances have read the entry of a new one by then, and tell it themselves. */
    private static final long LAST_PULL_NANOS = 30_000 * NANOS_PER_MILLI;

    private final InstanceId self;
    private final RegionId region;
    private final SuspectTable table;
    private final SplittableRandom random;
    private final List<Undelivered> undelivered = new ArrayList<>();
    private List<SuspectPeer> peers = List.of();
    private long startedNanos;
    private long pullDueNanos = NEVER;

    /**
     * Creates the sharing of an instance that knows no other one.
     *
     * @param self name of this instance
     * @param region its region
     * @param table what it knows
     * @param seed seed of the random choices
     */
    public SuspectSharing(InstanceId self, RegionId region, SuspectTable table, long seed) {
        this.self = self;
        this.region = region;
        this.table = table;
        this.random = new SplittableRandom(seed);
    }

    /** Replaces the known instances, this one excluded. */
    public synchronized void setPeers(List<SuspectPeer> newPeers) {
        peers = List.copyOf(newPeers);
    }

    /** Starts to ask other instances for what they know. */
    public synchronized void start(long nowNanos, Outbox outbox) {
        startedNanos = nowNanos;
        pullDueNanos = nowNanos + FIRST_PULL_NANOS;
        setTimer(nowNanos, outbox);
    }

    /**
     * Tells others of a change that a call of this instance has shown.
     *
     * @param change the change
     * @param nowNanos the current time
     * @param outbox receives the messages
     */
    public synchronized void share(SuspectChange change, long nowNanos, Outbox outbox) {
        Suspicion suspicion = change.suspicion();
        boolean known = suspicion.mayBeKnownIn(region);
        if (known && suspicion.level() >= Suspicion.ALONE_LEVEL) {
            tellAll(suspicion, outbox);
            return;
        }
        String server = change.server() == null ? "" : change.server().value();
        SuspectMessage.Report report = new SuspectMessage.Report(suspicion, server);
        List<SuspectPeer> counting = countingCandidates(suspicion);
        int sent = 0;
        for (SuspectPeer peer : counting) {
            if (sent++ == COUNTING_INSTANCES) {
                break;
            }
            if (isSelf(peer)) {
                count(report, outbox);
            } else {
                outbox.add(new Action.SendSuspectMessage(peer.address(), report, 1));
            }
        }
    }

    /** Handles a message of another instance. */
    public synchronized void received(SuspectMessage message, long nowNanos, Outbox outbox) {
        switch (message) {
            case SuspectMessage.Report report when report.suspicion().mayBeKnownIn(region) -> {
                boolean news = mergeFromPeer(report.suspicion(), nowNanos, outbox);
                if (news && report.suspicion().level() >= Suspicion.ALONE_LEVEL) {
                    // The sender is outside the home regions.
                    tellAll(report.suspicion(), outbox);
                } else {
                    count(report, outbox);
                }
            }
            case SuspectMessage.Notice notice when notice.suspicion().mayBeKnownIn(region) -> {
                mergeFromPeer(notice.suspicion(), nowNanos, outbox);
                table.markTold(notice.suspicion());
            }
            case SuspectMessage.Alert alert when !alert.homeRegions().contains(region) ->
                    table.alert(alert.homeRegions(), nowNanos);
            default -> {
                // Sent to the wrong region; nothing of it is kept.
            }
        }
    }

    /**
     * Asks an instance of the home regions about a request that this instance may not remember.
     *
     * @param ask the question, without an address
     * @param outbox receives the action, or the answer if nobody can be asked
     */
    public synchronized void ask(SuspectQuestion ask, Outbox outbox) {
        askNext(ask, 0, outbox);
    }

    /**
     * Passes an answer on, or asks the next instance.
     *
     * @param verdict the answer, or null if there was none in time
     */
    public synchronized void askEnded(Action.AskSuspicion asked, Verdict verdict, Outbox outbox) {
        if (verdict == null && asked.asks() < COUNTING_INSTANCES) {
            askNext(asked.question(), asked.asks(), outbox);
        } else {
            Verdict answer = verdict == null ? Verdict.UNSUSPECTED : verdict;
            outbox.reportVerdict(new SuspectAnswer(asked.question().request(), answer));
        }
    }

    private void askNext(SuspectQuestion question, int asks, Outbox outbox) {
        List<SuspectPeer> candidates =
                countingCandidates(new Suspicion(question.digest(), 0, 0, question.homeRegions()));
        if (asks < candidates.size()) {
            String address = candidates.get(asks).address();
            outbox.add(new Action.AskSuspicion(address, question, asks + 1));
        } else {
            outbox.reportVerdict(new SuspectAnswer(question.request(), Verdict.UNSUSPECTED));
        }
    }

    /** Handles the answer of another instance that was asked for all it knows. */
    public synchronized void pulled(List<SuspectMessage> known, long nowNanos, Outbox outbox) {
        known.forEach(message -> received(message, nowNanos, outbox));
    }

    /**
     * Returns all that an instance of a region has to know.
     *
     * @param asking region of the instance
     * @return notices and alerts
     */
    public List<SuspectMessage> messagesFor(RegionId asking) {
        List<SuspectMessage> messages = new ArrayList<>();
        table.tellable(asking).forEach(known -> messages.add(new SuspectMessage.Notice(known)));
        table.alertsFor(asking).forEach(homes -> messages.add(new SuspectMessage.Alert(homes)));
        return messages;
    }

    /**
     * Sends a message again, or to another instance, if it was not delivered.
     *
     * @param sent the message
     * @param delivered whether the other instance has confirmed it
     */
    public synchronized void sendEnded(
            Action.SendSuspectMessage sent, boolean delivered, long nowNanos, Outbox outbox) {
        if (delivered) {
            return;
        }
        switch (sent.message()) {
            case SuspectMessage.Report report -> reportToNext(sent, report, outbox);
            case SuspectMessage.Notice notice -> {
                Suspicion known = table.find(notice.suspicion().digest());
                if (known != null && !known.isAfter(notice.suspicion())) {
                    resendLater(sent, nowNanos, outbox);
                }
            }
            case SuspectMessage.Alert alert -> resendLater(sent, nowNanos, outbox);
        }
    }

    private void resendLater(Action.SendSuspectMessage sent, long nowNanos, Outbox outbox) {
        if (sent.sends() >= MAX_SENDS) {
            return;
        }
        if (undelivered.size() >= MAX_UNDELIVERED) {
            undelivered.removeFirst();
        }
        undelivered.add(new Undelivered(sent, nowNanos + RESEND_NANOS));
        setTimer(nowNanos, outbox);
    }

    /** Handles the timer of this object. */
    public synchronized void timerFired(long nowNanos, Outbox outbox) {
        Iterator<Undelivered> due = undelivered.iterator();
        while (due.hasNext()) {
            Undelivered next = due.next();
            if (nowNanos >= next.dueNanos) {
                due.remove();
                Action.SendSuspectMessage sent = next.sent;
                outbox.add(
                        new Action.SendSuspectMessage(
                                sent.address(), sent.message(), sent.sends() + 1));
            }
        }
        if (nowNanos >= pullDueNanos) {
            pull(outbox);
            long ageNanos = nowNanos - startedNanos;
            long pauseNanos = ageNanos < FREQUENT_PULLS_NANOS ? PULL_NANOS : LATER_PULL_NANOS;
            pullDueNanos = ageNanos < LAST_PULL_NANOS ? nowNanos + pauseNanos : NEVER;
        }
        setTimer(nowNanos, outbox);
    }

    private boolean mergeFromPeer(Suspicion suspicion, long nowNanos, Outbox outbox) {
        boolean news = table.merge(suspicion, nowNanos);
        if (news) {
            outbox.add(
                    new Action.SuspicionChanged(
                            new SuspectChange(
                                    suspicion, SuspectChange.Source.INSTANCE, null, null)));
        }
        return news;
    }

    /** Counts a report, and tells all instances if they have to know of it. */
    private void count(SuspectMessage.Report report, Outbox outbox) {
        Suspicion suspicion = report.suspicion();
        Suspicion known = table.find(suspicion.digest());
        if (known == null || known.epoch() != suspicion.epoch()) {
            return;
        }
        boolean told = table.isTold(suspicion.digest());
        if (suspicion.level() == 0) {
            if (told) {
                tellAll(known, outbox);
            }
        } else if (table.addServer(suspicion, report.server()) > 1 && !told) {
            tellAll(known, outbox);
        }
    }

    private void tellAll(Suspicion suspicion, Outbox outbox) {
        table.markTold(suspicion);
        SuspectMessage.Notice notice = new SuspectMessage.Notice(suspicion);
        for (SuspectPeer peer : peers) {
            SuspectMessage message =
                    suspicion.mayBeKnownIn(peer.region())
                            ? notice
                            : new SuspectMessage.Alert(suspicion.homeRegions());
            outbox.add(new Action.SendSuspectMessage(peer.address(), message, 1));
        }
    }

    private void reportToNext(
            Action.SendSuspectMessage sent, SuspectMessage.Report report, Outbox outbox) {
        List<SuspectPeer> counting = countingCandidates(report.suspicion());
        int next = COUNTING_INSTANCES - 1 + sent.sends();
        if (next >= counting.size()) {
            return;
        }
        SuspectPeer peer = counting.get(next);
        if (isSelf(peer)) {
            count(report, outbox);
        } else {
            outbox.add(new Action.SendSuspectMessage(peer.address(), report, sent.sends() + 1));
        }
    }

    private List<SuspectPeer> countingCandidates(Suspicion suspicion) {
        List<SuspectPeer> all = new ArrayList<>(peers);
        all.add(new SuspectPeer(self.value(), region, ""));
        return all.stream()
                .filter(peer -> suspicion.mayBeKnownIn(peer.region()))
                .sorted(Comparator.comparingLong(peer -> peer.rank(suspicion.digest())))
                .limit(MAX_COUNTING_CANDIDATES)
                .toList();
    }

    private static boolean isSelf(SuspectPeer peer) {
        return peer.address().isEmpty();
    }

    /** Asks a random instance, of the own region if there is one. */
    private void pull(Outbox outbox) {
        List<SuspectPeer> near =
                peers.stream().filter(peer -> peer.region().equals(region)).toList();
        List<SuspectPeer> askable = near.isEmpty() ? peers : near;
        if (!askable.isEmpty()) {
            SuspectPeer peer = askable.get(random.nextInt(askable.size()));
            outbox.add(new Action.PullSuspicions(peer.address(), region));
        }
    }

    private void setTimer(long nowNanos, Outbox outbox) {
        long due = pullDueNanos;
        for (Undelivered each : undelivered) {
            due = Math.min(due, each.dueNanos);
        }
        if (due != NEVER) {
            outbox.add(new Action.SetTimer(TIMER, Math.max(0, due - nowNanos), true));
        }
    }

    /** A notice that is sent again later. */
    private record Undelivered(Action.SendSuspectMessage sent, long dueNanos) {}
}
