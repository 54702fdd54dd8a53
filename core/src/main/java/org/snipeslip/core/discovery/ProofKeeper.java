package org.snipeslip.core.discovery;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Dates the answers that show that the configuration in force is the newest one, and asks for such
 * an answer at intervals while this instance follows the store. Its state has the lock of the
 * {@link DiscoveryEngine}, except the proof, which can be read without it.
 */
final class ProofKeeper {
    /** What {@link #ended} returns for a request whose answer proves nothing. */
    static final long PROVES_NOTHING = Long.MIN_VALUE;

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NEVER = Long.MAX_VALUE;

    /** Questions per greatest age of a proof; lost answers must not make it too old. */
    private static final int QUESTIONS_PER_MAX_AGE = 5;

    /** The answer is needed at once, whether there is a change or not. */
    private static final long WAIT_MILLIS = 1;

    private final long intervalNanos;
    private final Map<DiscoveryRequest, Asked> asked = new HashMap<>();
    private volatile ConfigProof proof = ConfigProof.NONE;

    /** Name of the object from which the configuration was read, or null before that. */
    private String configName;

    private long dueNanos = Long.MIN_VALUE;

    /** Counts down, so that no question equals a main watch. */
    private long attempts;

    /**
     * Creates a keeper without proof.
     *
     * @param maxProofAgeMillis greatest age of a proof that is of use, or 0 if none is needed;
     *     nothing is asked or dated then
     */
    ProofKeeper(long maxProofAgeMillis) {
        this.intervalNanos = maxProofAgeMillis * NANOS_PER_MILLI / QUESTIONS_PER_MAX_AGE;
    }

    private boolean isNeeded() {
        return intervalNanos > 0;
    }

    ConfigProof proof() {
        return proof;
    }

    /** Records when a request was sent whose answer may be a proof. */
    void sent(DiscoveryRequest request, long nowNanos) {
        if (isNeeded() && mayProve(request)) {
            // An answer does not tell to which of several equal requests it belongs.
            asked.merge(request, new Asked(nowNanos, 1), Asked::plus);
        }
    }

    private static boolean mayProve(DiscoveryRequest request) {
        return request.kind() == DiscoveryKind.CONFIG
                && switch (request) {
                    case DiscoveryRequest.Watch watch -> !watch.stale();
                    case DiscoveryRequest.ListPage page -> !page.stale() && page.after().isEmpty();
                    case DiscoveryRequest.PeerPoll poll -> true;
                    case DiscoveryRequest.Register register -> false;
                    case DiscoveryRequest.WriteRollout write -> false;
                    case DiscoveryRequest.ReadRollout read -> false;
                };
    }

    /** Returns when an ended request was sent, or {@link #PROVES_NOTHING}. */
    long ended(DiscoveryRequest request) {
        Asked each = asked.get(request);
        if (each == null) {
            return PROVES_NOTHING;
        }
        if (each.count > 1) {
            asked.put(request, new Asked(each.sentNanos, each.count - 1));
        } else {
            asked.remove(request);
        }
        return each.sentNanos;
    }

    /** Returns whether a request is a question of this class. */
    static boolean isQuestion(DiscoveryRequest request) {
        return request instanceof DiscoveryRequest.Watch watch
                && request.kind() == DiscoveryKind.CONFIG
                && watch.attempt() < 0;
    }

    /**
     * Returns whether the answer to a request of the store shows all changes up to the time at
     * which the request was sent. Those since a revision of another era do not.
     */
    static boolean isWhole(DiscoveryRequest request, DiscoveryResponse response, long era) {
        return switch (response) {
            case DiscoveryResponse.Page page -> !page.more() && page.era() == era;
            case DiscoveryResponse.Changes changes ->
                    request instanceof DiscoveryRequest.Watch watch
                            && watch.revision().era() == era
                            && changes.era() == era;
            default -> false;
        };
    }

    /**
     * Records a proof if the configuration in force is the newest one that was read.
     *
     * @param provenNanos when the question was sent, or {@link #PROVES_NOTHING}
     * @param known the objects of the kind, complete up to that time
     * @param inForce the configuration in force, or null
     */
    void prove(long provenNanos, Collection<DiscoveryObject> known, DiscoveredConfig inForce) {
        if (provenNanos <= proof.atNanos() || inForce == null) {
            return;
        }
        boolean found = false;
        for (DiscoveryObject object : known) {
            if (object.record() instanceof DiscoveryRecord.Config(DiscoveredConfig config)) {
                configName = object.name();
                found = true;
                if (config.version() > inForce.version()) {
                    return;
                }
            } else if (object.name().equals(configName)) {
                // A newer configuration that cannot be read.
                return;
            }
        }
        if (found) {
            proof = new ConfigProof(provenNanos, inForce.version());
        }
    }

    /** Forgets the proof; what is answered from now on counts. */
    void storeRestored() {
        proof = ConfigProof.NONE;
        dueNanos = Long.MIN_VALUE;
    }

    /** Forgets the proof, and the times of all requests that have not been answered. */
    void clockJumped() {
        proof = ConfigProof.NONE;
        asked.replaceAll((request, each) -> new Asked(PROVES_NOTHING, each.count));
        dueNanos = Long.MIN_VALUE;
    }

    /** Returns when to ask next while the store is followed, or {@link Long#MAX_VALUE}. */
    long dueNanos() {
        return isNeeded() ? dueNanos : NEVER;
    }

    /**
     * Returns the question that is due while the store is followed, or null. An earlier one may
     * still be pending, whose answer may be lost.
     */
    DiscoveryRequest dueRequest(StoreRevision knownRevision, long nowNanos) {
        if (nowNanos < dueNanos()) {
            return null;
        }
        dueNanos = nowNanos + intervalNanos;
        return new DiscoveryRequest.Watch(
                DiscoveryKind.CONFIG, knownRevision, WAIT_MILLIS, false, --attempts);
    }

    /**
     * Equal requests that have not ended.
     *
     * @param sentNanos when the first one was sent
     */
    private record Asked(long sentNanos, int count) {
        Asked plus(Asked later) {
            return new Asked(Math.min(sentNanos, later.sentNanos), count + later.count);
        }
    }
}
