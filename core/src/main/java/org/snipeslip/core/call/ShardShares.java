package org.snipeslip.core.call;

import java.util.random.RandomGenerator;
import org.snipeslip.core.admission.FairShares;
import org.snipeslip.core.admission.ShareKey;
import org.snipeslip.core.admission.ShareVerdict;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.Outbox;

/**
 * Applies {@link FairShares} to the calls of one service. Without organisations no call is refused
 * for its share, and only calls of a rank that is hardly served are preferred; with a single rank
 * besides, nothing is counted. Guarded by the shard's lock.
 */
final class ShardShares {
    /** Admits every call: below all draws. */
    private static final double ADMITTING_DRAW = -1;

    /**
     * Refused callers return after a random 0.5 to 1.5 times the expected time, not all at once.
     */
    private static final double MIN_RETRY_SPREAD = 0.5;

    private static final double NANOS_PER_MILLI = 1e6;
    private static final long MAX_RETRY_MILLIS = 5_000;

    /** A shortage is reported below this part, so that single late placements are not. */
    private static final double REPORTED_PART = 0.8;

    private final ServiceId service;
    private final ServerPool pool;
    private final RandomGenerator random;
    private FairShares shares;
    private boolean sharesByOrganisation;
    private boolean reportedShort;

    ShardShares(ServiceId service, ServerPool pool, RandomGenerator random) {
        this.service = service;
        this.pool = pool;
        this.random = random;
    }

    void configure(ConfigSet config) {
        sharesByOrganisation = !config.organisations().isEmpty();
        long ranks =
                config.routes().values().stream()
                        .filter(route -> route.sendsTo(service))
                        .mapToInt(route -> route.rank())
                        .distinct()
                        .count();
        if (!pool.probesEachCall() || !sharesByOrganisation && ranks < 2) {
            shares = null;
        } else if (shares == null) {
            shares = new FairShares();
        }
    }

    /** Counts an arriving call. */
    void offered(CallState call, long nowNanos) {
        if (shares != null) {
            shares.offered(keyOf(call), call.weight(), nowNanos);
        }
    }

    /**
     * Counts the choice of a server for a call; one without a target is never answered too late.
     */
    void placed(CallState call, boolean soonEnough, long nowNanos) {
        if (shares != null && call.route.targetLatencyMillis() > 0) {
            shares.placed(soonEnough, nowNanos);
        }
    }

    /** Counts a call that found no room or was refused for its share. */
    void refused(CallState call, long nowNanos) {
        if (shares != null) {
            shares.refused(keyOf(call), nowNanos);
        }
    }

    /** Decides whether a call that was never sent may compete for a server, and how. */
    ShareVerdict decide(CallState call, long nowNanos, Outbox outbox) {
        if (shares == null || !call.tries.isEmpty() || call.route.targetLatencyMillis() <= 0) {
            return new ShareVerdict.Admit(call.preference);
        }
        reportChange(nowNanos, outbox);
        double draw = sharesByOrganisation ? random.nextDouble() : ADMITTING_DRAW;
        return shares.decide(keyOf(call), draw, nowNanos);
    }

    /**
     * Returns the random time after which a call that was refused for its share is expected to find
     * room: the smaller the admitted part, the later.
     */
    long retryAfterMillis(ShareVerdict.Refuse refuse) {
        double meanMillis = pool.serviceLoad().meanNanos() / NANOS_PER_MILLI;
        double expectedMillis =
                meanMillis / Math.max(refuse.admittedPart(), 1.0 / MAX_RETRY_MILLIS);
        double spread = MIN_RETRY_SPREAD + random.nextDouble();
        return Math.clamp((long) (spread * expectedMillis), 1, MAX_RETRY_MILLIS);
    }

    private void reportChange(long nowNanos, Outbox outbox) {
        double part = shares.admittedPart(nowNanos);
        boolean isShort = shares.isShort(nowNanos) && part < (reportedShort ? 1 : REPORTED_PART);
        if (isShort != reportedShort) {
            reportedShort = isShort;
            outbox.add(new Action.ShortageChanged(service, isShort, part));
        }
    }

    private static ShareKey keyOf(CallState call) {
        return new ShareKey(call.rank, call.organisationId());
    }
}
