package org.snipeslip.core.discovery;

import java.util.ArrayList;
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

    /** Minimum wait of a watch, which then returns the changes that already exist. */
    private static final long MIN_WAIT_MILLIS = 1;

    private final DiscoveryKind kind;
    private final WatchSettings settings;
    private final OutageDetector outage;
    private final RetryPause retryPause;
    private final BackupWatch backupWatch;
    private final KnownObjects objects;

    /** What a cheap response, or another instance, says may be as old as this. */
    private final long staleNanos;

    private final PagedList list = new PagedList();
    private WatchState state = WatchState.LISTING;
    private StoreRevision revision = StoreRevision.NONE;
    private long batchMillis;

    /** True while another instance is followed instead of the store. */
    private boolean suspended;

    /** Whether the list is read although the copy is suspended. */
    private boolean mayList;

    private long attempts;
    private DiscoveryRequest pending;
    private long sentNanos;
    private long dueNanos = NEVER;

    WatchCache(
            DiscoveryKind kind,
            WatchSettings settings,
            OutageDetector outage,
            RandomGenerator random) {
        this.kind = kind;
        this.settings = settings;
        this.outage = outage;
        this.retryPause = new RetryPause(settings, random);
        this.backupWatch = new BackupWatch(kind, settings, outage);
        this.objects = new KnownObjects(kind, outage, settings.expiryMillis() * NANOS_PER_MILLI);
        this.batchMillis = settings.batchMillis();
        this.staleNanos = settings.recoveryGraceMillis() * NANOS_PER_MILLI;
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

    /** Returns whether the main watch works, as far as is known. */
    boolean isWatching() {
        return state == WatchState.WATCHING && !retryPause.isRetrying();
    }

    /** Returns whether the list was read completely at least once. */
    boolean isComplete() {
        return revision.isKnown();
    }

    DiscoveryRequest start() {
        return markPending(nextRequest(), Long.MIN_VALUE);
    }

    /** Returns up to which revision all changes are known; none before the list was read. */
    StoreRevision revision() {
        return revision;
    }

    /**
     * Returns what another instance has to learn that knows all changes up to a revision.
     *
     * @param sinceRevision the revision; all objects are returned for {@link StoreRevision#NONE}
     * @return the changes, or null if they are no longer known
     */
    DiscoveryResponse.Changes changesSince(StoreRevision sinceRevision) {
        return objects.changesSince(sinceRevision, revision);
    }

    /**
     * Applies what another instance knows.
     *
     * @param changes changes since {@link #revision}
     * @param asOfNanos when the other instance last heard from the store
     * @return whether the objects changed
     */
    boolean applyPeerChanges(DiscoveryResponse.Changes changes, long asOfNanos, long nowNanos) {
        boolean changed = objects.applyAll(changes.objects(), changes.revision(), nowNanos);
        revision = revision.max(changes.revision());
        return changed | objects.useWithheld(asOfNanos - staleNanos);
    }

    /**
     * Replaces the copy by all objects that another instance knows, at a revision that is not older
     * than that of this copy.
     *
     * @return whether the objects changed
     */
    boolean applyPeerList(DiscoveryResponse.Changes whole, long nowNanos) {
        pending = null;
        // Continues with a watch unless the copy is suspended.
        dueNanos = nowNanos;
        list.replace(whole);
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
        long backupNanos = needsBackup() && !suspended ? backupWatch.dueNanos() : NEVER;
        long due = Math.min(isActive() ? dueNanos : NEVER, backupNanos);
        return Math.min(due, objects.dueNanos());
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
            requests.add(markPending(nextRequest(), nowNanos));
        }
        if (needsBackup()) {
            DiscoveryRequest request = backupWatch.dueRequest(revision, nowNanos);
            if (request != null) {
                requests.add(request);
            }
        }
        return requests;
    }

    /** Every version of a configuration since the last watch would delay a list of the last one. */
    private boolean needsBackup() {
        return isComplete() && (kind != DiscoveryKind.CONFIG || state == WatchState.WATCHING);
    }

    private boolean isActive() {
        return !suspended || mayList && !isComplete();
    }

    /** Sends the next backup watch at once. */
    void restartBackupWatch(long nowNanos) {
        backupWatch.restart(nowNanos);
    }

    /** Repeats the watches, or after a short failure only what has failed, without a long pause. */
    void storeIsBack(boolean wasOutage, long nowNanos) {
        if (wasOutage) {
            restartWatches(nowNanos);
        } else if (dueNanos != NEVER) {
            dueNanos = Math.min(dueNanos, nowNanos + retryPause.unprobedNanos());
        }
    }

    /** Repeats the watches after the store was unreachable, because it may have dropped them. */
    void restartWatches(long nowNanos) {
        dueNanos = nowNanos;
        backupWatch.restart(nowNanos);
    }

    /** Applies what is due without a response; returns whether the objects changed. */
    boolean applyDue(long nowNanos) {
        return objects.applyDue(nowNanos);
    }

    /** Returns whether a request is pending, so that its response is to be handled. */
    boolean awaits(DiscoveryRequest request) {
        return request.equals(pending) || backupWatch.awaits(request);
    }

    /** Handles the response to a pending request; returns whether the objects changed. */
    boolean handleResponse(DiscoveryRequest request, DiscoveryResponse response, long nowNanos) {
        if (backupWatch.awaits(request)) {
            return handleBackupResponse(request, response, nowNanos);
        }
        pending = null;
        return switch (response) {
            case DiscoveryResponse.Failed failed -> {
                boolean unanswered = !failed.refused() && outage.lastSuccessNanos() > sentNanos;
                outage.recordFailure(nowNanos);
                if (kind == DiscoveryKind.CONFIG && state != WatchState.LISTING && unanswered) {
                    // Its answer has each version since then; the list has only the last one.
                    relist(nowNanos);
                }
                dueNanos = nowNanos + retryPause.afterFailure(isComplete());
                yield false;
            }
            case DiscoveryResponse.Page page -> {
                recordSuccess(nowNanos);
                yield addPage(page, nowNanos);
            }
            case DiscoveryResponse.Changes changes when request.isOfOtherEra(changes) -> {
                recordSuccess(nowNanos);
                relist(nowNanos);
                yield false;
            }
            case DiscoveryResponse.Changes changes -> {
                recordSuccess(nowNanos);
                // Each request is billed, so one watch reads all changes of a short period.
                boolean batch = !changes.objects().isEmpty();
                dueNanos = nowNanos + (batch ? batchMillis * NANOS_PER_MILLI : 0);
                boolean changed = state == WatchState.CATCHING_UP && applyList(nowNanos);
                revision = revision.max(changes.revision());
                changed |= objects.applyAll(changes.objects(), changes.revision(), nowNanos);
                yield changed | objects.useWithheld(nowNanos);
            }
            case DiscoveryResponse.HistoryDiscarded discarded -> {
                recordSuccess(nowNanos);
                if (state == WatchState.CATCHING_UP) {
                    list.setAllowStalePages(false);
                }
                relist(nowNanos);
                yield false;
            }
            case DiscoveryResponse.Written _,
                    DiscoveryResponse.Registered _,
                    DiscoveryResponse.Found _ ->
                    false;
            case DiscoveryResponse.PeerChanges peer ->
                    throw new IllegalStateException("response of an instance to a store request");
        };
    }

    /**
     * Handles the answer to a question for changes since {@link #revision} that was sent beside the
     * watches; returns whether the objects changed.
     */
    boolean handleQuestion(DiscoveryRequest question, DiscoveryResponse response, long nowNanos) {
        if (response instanceof DiscoveryResponse.Changes news
                && !question.isOfOtherEra(news)
                && news.era() == revision.era()) {
            revision = revision.max(news.revision());
            return objects.applyAll(news.objects(), news.revision(), nowNanos);
        }
        if (response instanceof DiscoveryResponse.HistoryDiscarded
                && state == WatchState.WATCHING) {
            relist(nowNanos);
        }
        return false;
    }

    /**
     * Reads the list again if what is known, or has been read of the list, is of an earlier era.
     */
    void relistForEra(long era, long nowNanos) {
        StoreRevision read = state == WatchState.LISTING ? list.firstRevision() : revision;
        if (read.isKnown() && read.era() < era) {
            relist(nowNanos);
        }
    }

    private boolean handleBackupResponse(
            DiscoveryRequest request, DiscoveryResponse response, long nowNanos) {
        boolean changed = false;
        switch (response) {
            case DiscoveryResponse.Changes changes when request.isOfOtherEra(changes) ->
                    outage.recordSuccess(nowNanos);
            case DiscoveryResponse.Changes changes -> {
                outage.recordSuccess(nowNanos);
                changed = objects.applyAll(changes.objects(), changes.revision(), nowNanos);
                changed |= objects.useWithheld(nowNanos - staleNanos);
            }
            case DiscoveryResponse.Failed failed -> outage.recordFailure(nowNanos);
            case DiscoveryResponse.HistoryDiscarded discarded -> {
                outage.recordSuccess(nowNanos);
                if (state == WatchState.WATCHING) {
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
        retryPause.end();
        outage.recordSuccess(nowNanos);
        backupWatch.mainWatchAnswered();
    }

    private boolean addPage(DiscoveryResponse.Page page, long nowNanos) {
        dueNanos = nowNanos;
        if (!list.add(page)) {
            list.setAllowStalePages(false);
            relist(nowNanos);
            return false;
        }
        if (page.more() && !page.objects().isEmpty()) {
            return false;
        }
        if (list.firstRevision().isAfter(list.oldestRevision())) {
            // An older page may lack changes already applied, so it is not applied on its own.
            state = WatchState.CATCHING_UP;
            return false;
        }
        return applyList(nowNanos);
    }

    private boolean applyList(long nowNanos) {
        StoreRevision listed = list.oldestRevision();
        boolean changed = !isComplete() | objects.replaceAll(list.objects(), listed, nowNanos);
        revision = revision.max(listed);
        list.clear();
        list.setAllowStalePages(true);
        state = WatchState.WATCHING;
        return changed;
    }

    private void relist(long nowNanos) {
        pending = null;
        dueNanos = nowNanos;
        list.clear();
        state = WatchState.LISTING;
    }

    private DiscoveryRequest nextRequest() {
        return switch (state) {
            case LISTING -> list.nextRequest(kind);
            case CATCHING_UP ->
                    new DiscoveryRequest.Watch(
                            kind, list.oldestRevision(), MIN_WAIT_MILLIS, false, ++attempts);
            case WATCHING ->
                    new DiscoveryRequest.Watch(
                            kind, revision, settings.mainWatchMillis(), false, ++attempts);
        };
    }

    private DiscoveryRequest markPending(DiscoveryRequest request, long nowNanos) {
        pending = request;
        sentNanos = nowNanos;
        return request;
    }
}
