package org.snipeslip.core.discovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Keeps a copy of the objects of one kind: it reads a list in pages and then watches for changes
 * from the oldest revision of these pages. The first page is up to date. Further pages may be
 * older, because such requests cost less; a watch with the minimum wait then reads the changes
 * since the oldest page. A failed request is retried with exponential backoff and jitter. If the
 * store has discarded the history that a watch needs, the list is read again. A {@link BackupWatch}
 * detects a main watch that has stalled.
 */
final class WatchCache {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NEVER = Long.MAX_VALUE;
    private static final int MAX_DOUBLINGS = 10;

    /** Minimum wait of a watch, which then returns the changes that already exist. */
    private static final long MIN_WAIT_MILLIS = 1;

    private final DiscoveryKind kind;
    private final WatchSettings settings;
    private final OutageDetector outage;
    private final RandomGenerator random;
    private final BackupWatch backupWatch;
    private final KnownObjects objects;
    private final Map<String, DiscoveryObject> listed = new HashMap<>();
    private State state = State.LISTING;
    private String lastListedName = "";
    private long firstPageRevision = -1;
    private long listRevision = -1;

    /**
     * False after the store had discarded the history since an older page; the next list then uses
     * up-to-date pages only, so that it succeeds.
     */
    private boolean allowStalePages = true;

    private long revision = -1;

    private long batchMillis;

    /** True while another instance is followed instead of the store. */
    private boolean suspended;

    /** Whether the list is read although the copy is suspended. */
    private boolean mayList;

    private int failures;
    private long attempts;
    private DiscoveryRequest pending;
    private long dueNanos = NEVER;

    WatchCache(
            DiscoveryKind kind,
            WatchSettings settings,
            OutageDetector outage,
            RandomGenerator random) {
        this.kind = kind;
        this.settings = settings;
        this.outage = outage;
        this.random = random;
        this.backupWatch = new BackupWatch(kind, settings, outage);
        this.objects = new KnownObjects(kind, outage);
        this.batchMillis = settings.batchMillis();
    }

    /**
     * Sets whether other instances follow this one.
     *
     * @param newBatchMillis pause between a response with changes and the next main watch
     */
    void setFollowed(boolean followed, long newBatchMillis, long nowNanos) {
        batchMillis = newBatchMillis;
        if (dueNanos != NEVER) {
            dueNanos = Math.min(dueNanos, nowNanos + batchMillis * NANOS_PER_MILLI);
        }
        backupWatch.setFollowed(followed);
    }

    Map<String, DiscoveryObject> objects() {
        return objects.asMap();
    }

    /** Returns whether the list was read completely at least once. */
    boolean isComplete() {
        return revision >= 0;
    }

    DiscoveryRequest start() {
        return markPending(nextRequest());
    }

    /** Returns up to which revision all changes are known, or -1 before the list was read. */
    long revision() {
        return revision;
    }

    /**
     * Returns what another instance has to learn that knows all changes up to a revision.
     *
     * @param sinceRevision the revision; all objects are returned if it is negative
     * @return the changes, or null if they are no longer known
     */
    DiscoveryResponse.Changes changesSince(long sinceRevision) {
        return objects.changesSince(sinceRevision, revision);
    }

    /**
     * Applies what another instance knows.
     *
     * @param changes changes since {@link #revision}
     * @return whether the objects changed
     */
    boolean applyPeerChanges(DiscoveryResponse.Changes changes, long nowNanos) {
        boolean changed = objects.applyAll(changes.objects(), changes.revision(), nowNanos);
        revision = Math.max(revision, changes.revision());
        return changed;
    }

    /**
     * Replaces the copy by all objects that another instance knows, at a revision that is not older
     * than that of this copy.
     *
     * @return whether the objects changed
     */
    boolean applyPeerList(DiscoveryResponse.Changes list, long nowNanos) {
        pending = null;
        // Continues with a watch unless the copy is suspended.
        dueNanos = nowNanos;
        resetList();
        list.objects().forEach(object -> listed.put(object.name(), object));
        listRevision = list.revision();
        return applyList(nowNanos);
    }

    /**
     * Sends no further requests to the store until {@link #resume}, and ignores responses to
     * earlier ones: they may be older than what another instance reports meanwhile.
     */
    void suspend() {
        suspended = true;
        mayList = false;
        pending = null;
        backupWatch.forgetPending();
    }

    /** Reads the list of a suspended and incomplete copy. */
    void resumeList(long nowNanos) {
        if (suspended && !mayList && !isComplete()) {
            mayList = true;
            dueNanos = nowNanos;
        }
    }

    /** Sends requests to the store again, beginning with a watch or list that is due at once. */
    void resume(long nowNanos) {
        if (suspended) {
            suspended = false;
            if (pending == null) {
                restartWatches(nowNanos);
            }
        }
    }

    /** Returns when to call {@link #dueRequests} next, or {@link Long#MAX_VALUE} for never. */
    long dueNanos() {
        boolean watching = isComplete() && !suspended;
        long due =
                Math.min(isActive() ? dueNanos : NEVER, watching ? backupWatch.dueNanos() : NEVER);
        return Math.min(due, objects.nextRemovalNanos());
    }

    /** Marks the requests that are due as pending and returns them. */
    List<DiscoveryRequest> dueRequests(long nowNanos) {
        List<DiscoveryRequest> requests = new ArrayList<>(1);
        if (!isActive()) {
            return requests;
        }
        if (backupWatch.detectStall(nowNanos)) {
            dueNanos = Math.min(dueNanos, nowNanos);
        }
        if (nowNanos >= dueNanos) {
            dueNanos = NEVER;
            requests.add(markPending(nextRequest()));
        }
        if (isComplete()) {
            DiscoveryRequest request = backupWatch.dueRequest(revision, nowNanos);
            if (request != null) {
                requests.add(request);
            }
        }
        return requests;
    }

    private boolean isActive() {
        return !suspended || mayList && !isComplete();
    }

    /** Sends the next backup watch at once. */
    void restartBackupWatch(long nowNanos) {
        backupWatch.restart(nowNanos);
    }

    /** Repeats the watches after the store was unreachable, because it may have dropped them. */
    void restartWatches(long nowNanos) {
        dueNanos = nowNanos;
        backupWatch.restart(nowNanos);
    }

    /** Drops removed objects whose grace period has ended; returns whether there were any. */
    boolean removeExpired(long nowNanos) {
        return objects.removeExpired(nowNanos);
    }

    /** Returns whether a request is pending, so that its response is to be handled. */
    boolean awaits(DiscoveryRequest request) {
        return request.equals(pending) || backupWatch.awaits(request);
    }

    /** Handles the response to a pending request; returns whether the objects changed. */
    boolean handleResponse(DiscoveryRequest request, DiscoveryResponse response, long nowNanos) {
        if (backupWatch.awaits(request)) {
            return handleBackupResponse(response, nowNanos);
        }
        pending = null;
        return switch (response) {
            case DiscoveryResponse.Failed failed -> {
                outage.recordFailure(nowNanos);
                failures++;
                dueNanos = nowNanos + backoffNanos();
                yield false;
            }
            case DiscoveryResponse.Page page -> {
                recordSuccess(nowNanos);
                yield addPage(page, nowNanos);
            }
            case DiscoveryResponse.Changes changes -> {
                recordSuccess(nowNanos);
                // Each request is billed, so one watch reads all changes of a short period.
                boolean batch = !changes.objects().isEmpty();
                dueNanos = nowNanos + (batch ? batchMillis * NANOS_PER_MILLI : 0);
                boolean changed = state == State.CATCHING_UP && applyList(nowNanos);
                revision = Math.max(revision, changes.revision());
                yield changed | objects.applyAll(changes.objects(), changes.revision(), nowNanos);
            }
            case DiscoveryResponse.HistoryDiscarded discarded -> {
                recordSuccess(nowNanos);
                allowStalePages &= state != State.CATCHING_UP;
                relist(nowNanos);
                yield false;
            }
            case DiscoveryResponse.Registered confirmation -> false;
            case DiscoveryResponse.PeerChanges peer ->
                    throw new IllegalStateException("response of an instance to a store request");
        };
    }

    private boolean handleBackupResponse(DiscoveryResponse response, long nowNanos) {
        boolean changed = false;
        switch (response) {
            case DiscoveryResponse.Changes changes -> {
                outage.recordSuccess(nowNanos);
                changed = objects.applyAll(changes.objects(), changes.revision(), nowNanos);
            }
            case DiscoveryResponse.Failed failed -> outage.recordFailure(nowNanos);
            case DiscoveryResponse.HistoryDiscarded discarded -> {
                outage.recordSuccess(nowNanos);
                if (state == State.WATCHING) {
                    // The main watch may have stalled and cannot be repeated from its revision.
                    relist(nowNanos);
                }
            }
            default -> outage.recordSuccess(nowNanos);
        }
        backupWatch.handleResponse(response, changed && pending != null, nowNanos);
        return changed;
    }

    private void recordSuccess(long nowNanos) {
        failures = 0;
        outage.recordSuccess(nowNanos);
        backupWatch.mainWatchAnswered();
    }

    private boolean addPage(DiscoveryResponse.Page page, long nowNanos) {
        dueNanos = nowNanos;
        if (firstPageRevision < 0) {
            firstPageRevision = page.revision();
            listRevision = page.revision();
        }
        // The watch starts at the oldest page, so that changes between the pages are not missed.
        listRevision = Math.min(listRevision, page.revision());
        for (DiscoveryObject object : page.objects()) {
            listed.put(object.name(), object);
            lastListedName = object.name();
        }
        if (page.more() && !page.objects().isEmpty()) {
            return false;
        }
        if (listRevision < firstPageRevision) {
            // An older page may lack changes already applied, so it is not applied on its own.
            state = State.CATCHING_UP;
            return false;
        }
        return applyList(nowNanos);
    }

    private boolean applyList(long nowNanos) {
        boolean changed = !isComplete() | objects.replaceAll(listed, listRevision, nowNanos);
        revision = Math.max(revision, listRevision);
        resetList();
        state = State.WATCHING;
        allowStalePages = true;
        return changed;
    }

    private void relist(long nowNanos) {
        pending = null;
        dueNanos = nowNanos;
        resetList();
    }

    private void resetList() {
        state = State.LISTING;
        listed.clear();
        lastListedName = "";
        firstPageRevision = -1;
        listRevision = -1;
    }

    private long backoffNanos() {
        long limitMillis =
                Math.min(
                        settings.maxBackoffMillis(),
                        settings.minBackoffMillis() << Math.min(failures - 1, MAX_DOUBLINGS));
        return (limitMillis / 2 + random.nextLong(limitMillis / 2 + 1)) * NANOS_PER_MILLI;
    }

    private DiscoveryRequest nextRequest() {
        return switch (state) {
            case LISTING ->
                    new DiscoveryRequest.ListPage(
                            kind, lastListedName, allowStalePages && !lastListedName.isEmpty());
            case CATCHING_UP ->
                    new DiscoveryRequest.Watch(
                            kind, listRevision, MIN_WAIT_MILLIS, false, ++attempts);
            case WATCHING ->
                    new DiscoveryRequest.Watch(
                            kind, revision, settings.mainWatchMillis(), false, ++attempts);
        };
    }

    private DiscoveryRequest markPending(DiscoveryRequest request) {
        pending = request;
        return request;
    }

    private enum State {
        /** Reads the pages of a list. */
        LISTING,

        /** Reads the changes since the oldest page of a list. */
        CATCHING_UP,

        /** Watches for changes after a list was applied. */
        WATCHING
    }
}
