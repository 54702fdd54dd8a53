package org.snipeslip.core.discovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Keeps a copy of the objects of one kind: a list in pages, then watches from the oldest revision
 * of its pages. The first page is up to date; further ones may be older, which costs less, and a
 * watch that answers at once then closes the gap. A failed call is made again after a pause that
 * doubles, with jitter; lost history leads to a new list. A {@link WatchGuard} beside the watch
 * notices that it went silent.
 */
final class ObjectFollower {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NEVER = Long.MAX_VALUE;
    private static final int MAX_DOUBLINGS = 10;

    /** Shortest wait that a watch can state: it answers with what is there. */
    private static final long AT_ONCE_MILLIS = 1;

    private final FleetKind kind;
    private final FollowSettings settings;
    private final StoreOutage outage;
    private final RandomGenerator random;
    private final WatchGuard guard;
    private final Map<String, FleetObject> objects = new HashMap<>();

    /** Ends of the grace of objects that vanished in an outage. */
    private final Map<String, Long> vanished = new HashMap<>();

    private final Map<String, FleetObject> listed = new HashMap<>();
    private ListState state = ListState.LISTING;
    private String listedUpTo = "";
    private long firstPageRevision = -1;
    private long listRevision = -1;

    /** False after the history back to an older page was gone, so that the next list succeeds. */
    private boolean stalePages = true;

    private long revision = -1;
    private int failures;
    private long attempts;
    private FleetCall pending;
    private long dueNanos = NEVER;

    ObjectFollower(
            FleetKind kind, FollowSettings settings, StoreOutage outage, RandomGenerator random) {
        this.kind = kind;
        this.settings = settings;
        this.outage = outage;
        this.random = random;
        this.guard = new WatchGuard(kind, settings, outage);
    }

    Map<String, FleetObject> objects() {
        return objects;
    }

    /** Tells whether the kind was read whole at least once. */
    boolean isComplete() {
        return revision >= 0;
    }

    FleetCall start() {
        return call(nextCall());
    }

    /** Returns when {@link #dueCalls} has something to do, or {@link Long#MAX_VALUE}. */
    long dueNanos() {
        long due = Math.min(dueNanos, isComplete() ? guard.dueNanos() : NEVER);
        for (long end : vanished.values()) {
            due = Math.min(due, end);
        }
        return due;
    }

    /** Returns the calls that are due. */
    List<FleetCall> dueCalls(long nowNanos) {
        List<FleetCall> calls = new ArrayList<>(1);
        if (guard.suspects(nowNanos)) {
            dueNanos = Math.min(dueNanos, nowNanos);
        }
        if (nowNanos >= dueNanos) {
            dueNanos = NEVER;
            calls.add(call(nextCall()));
        }
        if (isComplete()) {
            FleetCall next = guard.dueCall(revision, nowNanos);
            if (next != null) {
                calls.add(next);
            }
        }
        return calls;
    }

    /** Makes the watches again, because the store was out of reach and may have dropped them. */
    void restart(long nowNanos) {
        dueNanos = nowNanos;
        guard.restart(nowNanos);
    }

    /** Removes vanished objects whose grace is over; returns whether there were any. */
    boolean removeVanished(long nowNanos) {
        boolean changed = false;
        for (Map.Entry<String, Long> entry : List.copyOf(vanished.entrySet())) {
            if (nowNanos >= entry.getValue()) {
                vanished.remove(entry.getKey());
                changed |= objects.remove(entry.getKey()) != null;
            }
        }
        return changed;
    }

    /** Tells whether an answer belongs to a call that is pending. */
    boolean awaits(FleetCall call) {
        return call.equals(pending) || guard.awaits(call);
    }

    /** Takes the answer to a pending call; returns whether the objects changed. */
    boolean answered(FleetCall call, FleetAnswer answer, long nowNanos) {
        if (guard.awaits(call)) {
            return guardAnswered(answer, nowNanos);
        }
        pending = null;
        return switch (answer) {
            case FleetAnswer.Failed failed -> {
                outage.failed(nowNanos);
                failures++;
                dueNanos = nowNanos + pauseNanos();
                yield false;
            }
            case FleetAnswer.Page page -> {
                succeeded(nowNanos);
                yield takePage(page, nowNanos);
            }
            case FleetAnswer.Changes changes -> {
                succeeded(nowNanos);
                // Each call is billed; changes that come in a row are read by one watch.
                boolean wait = !changes.objects().isEmpty();
                dueNanos = nowNanos + (wait ? settings.batchMillis() * NANOS_PER_MILLI : 0);
                boolean changed = state == ListState.CATCHING_UP && takeList(nowNanos);
                revision = Math.max(revision, changes.revision());
                yield changed | applyAll(changes.objects(), nowNanos);
            }
            case FleetAnswer.HistoryGone gone -> {
                succeeded(nowNanos);
                stalePages &= state != ListState.CATCHING_UP;
                listAgain(nowNanos);
                yield false;
            }
            case FleetAnswer.Registered registered -> false;
        };
    }

    private boolean guardAnswered(FleetAnswer answer, long nowNanos) {
        boolean changed = false;
        switch (answer) {
            case FleetAnswer.Changes changes -> {
                outage.succeeded(nowNanos);
                changed = applyAll(changes.objects(), nowNanos);
            }
            case FleetAnswer.Failed failed -> outage.failed(nowNanos);
            case FleetAnswer.HistoryGone gone -> {
                outage.succeeded(nowNanos);
                if (state == ListState.WATCHING) {
                    // The watch may have gone silent, and can no longer be made again.
                    listAgain(nowNanos);
                }
            }
            default -> outage.succeeded(nowNanos);
        }
        guard.answered(answer, changed && pending != null, nowNanos);
        return changed;
    }

    private void succeeded(long nowNanos) {
        failures = 0;
        outage.succeeded(nowNanos);
        guard.watchAnswered();
    }

    private boolean applyAll(List<FleetObject> changes, long nowNanos) {
        boolean changed = false;
        for (FleetObject object : changes) {
            changed |= apply(object, nowNanos);
        }
        return changed;
    }

    private boolean takePage(FleetAnswer.Page page, long nowNanos) {
        dueNanos = nowNanos;
        if (firstPageRevision < 0) {
            firstPageRevision = page.revision();
            listRevision = page.revision();
        }
        // The watch starts at the oldest page, so changes between the pages are not missed.
        listRevision = Math.min(listRevision, page.revision());
        for (FleetObject object : page.objects()) {
            listed.put(object.name(), object);
            listedUpTo = object.name();
        }
        if (page.more() && !page.objects().isEmpty()) {
            return false;
        }
        if (listRevision < firstPageRevision) {
            // An older page may lack changes that are known already, so it is not applied alone.
            state = ListState.CATCHING_UP;
            return false;
        }
        return takeList(nowNanos);
    }

    private boolean takeList(long nowNanos) {
        boolean changed = !isComplete() | applyAll(List.copyOf(listed.values()), nowNanos);
        for (FleetObject known : List.copyOf(objects.values())) {
            // One that a cheap watch brought after the list is kept.
            if (!listed.containsKey(known.name()) && known.revision() <= listRevision) {
                changed |= remove(known.name(), nowNanos);
            }
        }
        revision = Math.max(revision, listRevision);
        restartList();
        state = ListState.WATCHING;
        stalePages = true;
        return changed;
    }

    private void listAgain(long nowNanos) {
        pending = null;
        dueNanos = nowNanos;
        restartList();
    }

    private void restartList() {
        state = ListState.LISTING;
        listed.clear();
        listedUpTo = "";
        firstPageRevision = -1;
        listRevision = -1;
    }

    private boolean apply(FleetObject object, long nowNanos) {
        FleetObject known = objects.get(object.name());
        if (known != null && known.revision() > object.revision()) {
            return false;
        }
        if (object.deleted()) {
            return remove(object.name(), nowNanos);
        }
        vanished.remove(object.name());
        objects.put(object.name(), object);
        return known == null || known.revision() != object.revision();
    }

    private boolean remove(String name, long nowNanos) {
        if (!objects.containsKey(name) || vanished.containsKey(name)) {
            return false;
        }
        long keepUntilNanos = outage.keepUntilNanos(nowNanos);
        if (kind == FleetKind.SERVERS && keepUntilNanos > nowNanos) {
            vanished.put(name, keepUntilNanos);
            return false;
        }
        return objects.remove(name) != null;
    }

    private long pauseNanos() {
        long most =
                Math.min(
                        settings.maxPauseMillis(),
                        settings.minPauseMillis() << Math.min(failures - 1, MAX_DOUBLINGS));
        return (most / 2 + random.nextLong(most / 2 + 1)) * NANOS_PER_MILLI;
    }

    private FleetCall nextCall() {
        return switch (state) {
            case LISTING ->
                    new FleetCall.ListPage(kind, listedUpTo, stalePages && !listedUpTo.isEmpty());
            case CATCHING_UP ->
                    new FleetCall.Watch(kind, listRevision, AT_ONCE_MILLIS, false, ++attempts);
            case WATCHING ->
                    new FleetCall.Watch(kind, revision, settings.watchMillis(), false, ++attempts);
        };
    }

    private FleetCall call(FleetCall next) {
        pending = next;
        return next;
    }

    private enum ListState {
        /** Reads the pages of a list. */
        LISTING,

        /** Reads what changed since the oldest page of a list. */
        CATCHING_UP,

        /** Watches from a list that was taken over. */
        WATCHING
    }
}
