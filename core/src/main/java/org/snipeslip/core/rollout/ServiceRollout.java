package org.snipeslip.core.rollout;

import org.snipeslip.core.discovery.DiscoveryRequest;
import org.snipeslip.core.discovery.DiscoveryResponse;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Outbox;

/**
 * One undecided order at one instance: what it reports, what it decides if it is the judge, and
 * what it writes. Guarded by the lock of {@link RolloutEngine}.
 */
final class ServiceRollout {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long WRITE_PAUSE_NANOS = 200 * NANOS_PER_MILLI;

    /** A store that has answered within this time takes the next write as well. */
    private static final long STORE_SEEN_NANOS = 1_500 * NANOS_PER_MILLI;

    /** Time for which all instances follow the last step before it is written. */
    private static final long MIN_SHIFT_NANOS = 800 * NANOS_PER_MILLI;

    /** After this time, instances that have not confirmed the last step are not waited for. */
    private static final long MAX_SHIFT_NANOS = 1_600 * NANOS_PER_MILLI;

    /** An instance that has heard no judge for this time is on its own. */
    private static final long ORPHANED_NANOS = 2_000 * NANOS_PER_MILLI;

    /** Time within which all instances report to a new judge. */
    private static final long TAKEOVER_NANOS = 1_000 * NANOS_PER_MILLI;

    /** Instances on their own do not all write at once. */
    private static final long BACKSTOP_STAGGER_MILLIS = 100;

    private static final int MAX_STAGGERED = 8;

    private final String self;
    private final long incarnation;
    private final ServiceVersions versions;
    private final RolloutJudge judge = new RolloutJudge();
    private final RolloutSchedule schedule;
    private final long seenNanos;
    private RolloutEntry entry;
    private long sequence;
    private long judgeHeardNanos;
    private long judgeSinceNanos = Long.MAX_VALUE;
    private long shiftedNanos;

    /** Whether this instance has decided on a step, which others may not know. */
    private boolean decidedHere;

    private long storeSeenNanos = Long.MIN_VALUE / 2;
    private long writeDueNanos;
    private DiscoveryRequest pending;

    ServiceRollout(
            String self,
            long incarnation,
            ServiceVersions versions,
            RolloutEntry entry,
            long nowNanos,
            Outbox outbox) {
        this.self = self;
        this.incarnation = incarnation;
        this.versions = versions;
        this.entry = entry;
        this.schedule = RolloutSchedule.of(entry.durationMillis());
        this.seenNanos = nowNanos;
        this.judgeHeardNanos = nowNanos;
        log(RolloutChange.Kind.ORDERED, entry.durationMillis() + " ms", nowNanos, outbox);
    }

    RolloutEntry entry() {
        return entry;
    }

    RolloutStep step() {
        return versions.step();
    }

    /** Applies what the store says about the same order. */
    void configure(RolloutEntry newEntry, long nowNanos, Outbox outbox) {
        if (newEntry.isDecided() || newEntry.revision() > entry.revision()) {
            replaceEntry(newEntry, nowNanos, outbox);
        }
    }

    private void replaceEntry(RolloutEntry newEntry, long nowNanos, Outbox outbox) {
        entry = newEntry;
        if (newEntry.isDecided()) {
            boolean completed = newEntry.state() == RolloutState.COMPLETED;
            versions.advance(completed ? RolloutStep.COMPLETED : RolloutStep.ROLLED_BACK);
            log(RolloutChange.Kind.DECIDED, judge.describe(), nowNanos, outbox);
        }
    }

    /** Returns the report of this instance. */
    RolloutReport report(long nowNanos) {
        return new RolloutReport(
                entry.service(),
                entry.target(),
                self,
                incarnation,
                ++sequence,
                versions.step(),
                (nowNanos - seenNanos) / NANOS_PER_MILLI,
                versions.totals());
    }

    /** Adds a report; returns the step that its instance has to follow. */
    RolloutStep received(RolloutReport report, long nowNanos) {
        judge.add(report, nowNanos);
        return versions.step();
    }

    /** Follows the step of a judge; returns whether it is another one than before. */
    boolean told(RolloutStep newStep, long nowNanos, Outbox outbox) {
        judgeHeardNanos = nowNanos;
        RolloutStep before = versions.step();
        follow(newStep, nowNanos, outbox);
        return versions.step() != before;
    }

    private void follow(RolloutStep newStep, long nowNanos, Outbox outbox) {
        if (newStep.compareTo(versions.step()) > 0) {
            advance(newStep, RolloutChange.Kind.STEP_FOLLOWED, nowNanos, outbox);
        }
    }

    private void advance(
            RolloutStep newStep, RolloutChange.Kind kind, long nowNanos, Outbox outbox) {
        versions.advance(newStep);
        if (newStep == RolloutStep.SHIFT) {
            // Another judge has decided this at least a report ago.
            boolean followed = kind == RolloutChange.Kind.STEP_FOLLOWED;
            shiftedNanos = followed ? nowNanos - MIN_SHIFT_NANOS / 2 : nowNanos;
        }
        log(kind, judge.describe(), nowNanos, outbox);
    }

    /**
     * Decides what is due.
     *
     * @param rank position of this instance among the possible judges; 0 is the judge
     * @param single whether no other instance is known
     */
    void decide(int rank, boolean single, long nowNanos, Outbox outbox) {
        if (entry.isDecided()) {
            return;
        }
        judge.evaluate(nowNanos);
        RolloutStep before = versions.step();
        boolean hears = single || judge.hearsOthers(self, nowNanos);
        boolean isJudge = rank == 0 || hears;
        judgeSinceNanos = hears ? Math.min(judgeSinceNanos, nowNanos) : Long.MAX_VALUE;
        if (isJudge) {
            follow(judge.latestStep(), nowNanos, outbox);
        }
        RolloutStep next = nextStep(isJudge, rank, nowNanos, outbox);
        if (next.compareTo(versions.step()) > 0) {
            decidedHere = true;
            advance(next, RolloutChange.Kind.STEP_DECIDED, nowNanos, outbox);
        }
        write(wanted(isJudge, before, nowNanos), nowNanos, outbox);
    }

    private RolloutStep nextStep(boolean isJudge, int rank, long nowNanos, Outbox outbox) {
        RolloutStep step = versions.step();
        long elapsedMillis = elapsedMillis(nowNanos);
        if (judge.isBad()) {
            return RolloutStep.ROLLED_BACK;
        }
        if (!isJudge) {
            long dueMillis =
                    schedule.backstopMillis()
                            + Math.min(rank, MAX_STAGGERED) * BACKSTOP_STAGGER_MILLIS;
            boolean orphaned = nowNanos - judgeHeardNanos >= ORPHANED_NANOS;
            boolean undecided = step != RolloutStep.SHIFT && elapsedMillis >= dueMillis;
            return orphaned && undecided ? RolloutStep.ROLLED_BACK : step;
        }
        return switch (step) {
            case CANARY, LOAD -> {
                boolean good = judge.isGood();
                boolean informed =
                        isInformed(nowNanos) || elapsedMillis >= schedule.backstopMillis();
                if (!good && informed && elapsedMillis >= schedule.decideMillis()) {
                    yield RolloutStep.ROLLED_BACK;
                }
                if (good && elapsedMillis >= schedule.shiftMillis()) {
                    if (nowNanos - storeSeenNanos <= STORE_SEEN_NANOS) {
                        yield RolloutStep.SHIFT;
                    }
                    read(nowNanos, outbox);
                }
                boolean load = elapsedMillis >= schedule.loadMillis();
                yield load && entry.state() == RolloutState.RUNNING ? RolloutStep.LOAD : step;
            }
            case SHIFT -> {
                // All calls are the last trial of a version that fails under load.
                boolean late = elapsedMillis >= schedule.backstopMillis() && isInformed(nowNanos);
                yield late && !judge.isGood() ? RolloutStep.ROLLED_BACK : step;
            }
            case ROLLED_BACK, COMPLETED -> step;
        };
    }

    /** A judge that has just taken over, or hears nobody, does not know all calls. */
    private boolean isInformed(long nowNanos) {
        return nowNanos >= judgeSinceNanos && nowNanos - judgeSinceNanos >= TAKEOVER_NANOS;
    }

    /** Returns the state to write, or null. */
    private RolloutState wanted(boolean isJudge, RolloutStep before, long nowNanos) {
        RolloutStep step = versions.step();
        return switch (step) {
            case ROLLED_BACK -> {
                boolean orphaned = nowNanos - judgeHeardNanos >= ORPHANED_NANOS;
                yield isJudge || decidedHere || orphaned ? RolloutState.ROLLED_BACK : null;
            }
            case SHIFT -> {
                long shiftNanos = nowNanos - shiftedNanos;
                boolean followed = judge.allFollow(step, nowNanos) && shiftNanos >= MIN_SHIFT_NANOS;
                boolean due = before == step && (followed || shiftNanos >= MAX_SHIFT_NANOS);
                yield isJudge && due && judge.isGood() ? RolloutState.COMPLETED : null;
            }
            case CANARY, LOAD -> isJudge && entry.state() == null ? RolloutState.RUNNING : null;
            case COMPLETED -> null;
        };
    }

    private void write(RolloutState state, long nowNanos, Outbox outbox) {
        if (state != null && pending == null && nowNanos >= writeDueNanos) {
            writeDueNanos = nowNanos + WRITE_PAUSE_NANOS;
            pending =
                    new DiscoveryRequest.WriteRollout(
                            entry.service(), entry.target(), state, entry.revision(), ++sequence);
            outbox.add(new Action.SendDiscoveryRequest(pending));
        }
    }

    private void read(long nowNanos, Outbox outbox) {
        if (pending == null && nowNanos >= writeDueNanos) {
            writeDueNanos = nowNanos + WRITE_PAUSE_NANOS;
            pending = new DiscoveryRequest.ReadRollout(entry.service(), ++sequence);
            outbox.add(new Action.SendDiscoveryRequest(pending));
        }
    }

    boolean awaits(DiscoveryRequest request) {
        return request.equals(pending);
    }

    /** Handles the response to a write or a read of the entry. */
    void responded(
            DiscoveryRequest request, DiscoveryResponse response, long nowNanos, Outbox outbox) {
        pending = null;
        if (!(response instanceof DiscoveryResponse.Failed)) {
            storeSeenNanos = nowNanos;
        }
        if (!(request instanceof DiscoveryRequest.WriteRollout write)) {
            found(response, nowNanos, outbox);
            return;
        }
        switch (response) {
            case DiscoveryResponse.Written written -> {
                log(RolloutChange.Kind.WRITTEN, write.state().name(), nowNanos, outbox);
                if (write.state().isFinal()) {
                    replaceEntry(entry.in(write.state()), nowNanos, outbox);
                } else {
                    entry = entry.in(write.state());
                    // The write has raised the revision.
                    readNow(nowNanos, outbox);
                }
            }
            case DiscoveryResponse.Found found -> {
                // Another instance was faster: what it has written holds.
                log(RolloutChange.Kind.WRITE_FAILED, "conflict", nowNanos, outbox);
                found(found, nowNanos, outbox);
            }
            default -> {
                log(RolloutChange.Kind.WRITE_FAILED, String.valueOf(response), nowNanos, outbox);
                // The write may have taken effect although its answer was lost.
                readNow(nowNanos, outbox);
            }
        }
    }

    private void readNow(long nowNanos, Outbox outbox) {
        writeDueNanos = nowNanos;
        read(nowNanos, outbox);
    }

    private void found(DiscoveryResponse response, long nowNanos, Outbox outbox) {
        if (response instanceof DiscoveryResponse.Found(RolloutEntry newEntry)
                && newEntry != null
                && newEntry.target().equals(entry.target())) {
            replaceEntry(newEntry, nowNanos, outbox);
        }
    }

    private long elapsedMillis(long nowNanos) {
        return (nowNanos - Math.min(seenNanos, judge.startedNanos(nowNanos))) / NANOS_PER_MILLI;
    }

    private void log(RolloutChange.Kind kind, String detail, long nowNanos, Outbox outbox) {
        outbox.add(
                new Action.RolloutChanged(
                        new RolloutChange(
                                entry.service(),
                                entry.target(),
                                kind,
                                versions.step(),
                                elapsedMillis(nowNanos),
                                detail)));
    }
}
