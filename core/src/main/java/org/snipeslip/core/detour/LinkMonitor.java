package org.snipeslip.core.detour;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.FailureDomainId;

/**
 * Tells lost links of this instance from lost servers, by the sum of what all services show: if
 * several servers of more than one failure domain are not reached and none answers meanwhile, the
 * instance is cut off. Any answer is evidence of the opposite. Thread-safe; its lock is acquired
 * after all others.
 */
public final class LinkMonitor {
    /** With fewer, one service that has lost its servers would look like lost links. */
    private static final int MIN_SERVERS = 3;

    private static final int MIN_FAILURE_DOMAINS = 2;

    /**
     * Longer than an attempt to connect, so that several servers must fail independently, and a
     * small part of the time after which callers must be served again.
     */
    private static final long MIN_SILENT_NANOS = 300_000_000;

    /** A server that was not reached within this time makes the links doubtful. */
    private static final long DOUBT_NANOS = 2_000_000_000;

    private static final int MIN_DOUBTFUL_SERVERS = 2;

    /** Servers that answer within this time show that the links are back. */
    private static final long RETURN_NANOS = 1_500_000_000;

    private static final int MIN_RETURN_SERVERS = 2;

    /** Failures that are remembered; the oldest one is forgotten first. */
    private static final int MAX_FAILURES = 64;

    /** Times of the last failures by server, the latest at the end. */
    private final LinkedHashMap<BackendServerId, Long> failures =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<BackendServerId, Long> eldest) {
                    return size() > MAX_FAILURES;
                }
            };

    /** Servers that were not reached, while no server has answered. */
    private final Map<BackendServerId, FailureDomainId> unanswered = new HashMap<>();

    /** Times of the last answers by server, while the instance is cut off. */
    private final Map<BackendServerId, Long> answers = new HashMap<>();

    private int knownServers;
    private int knownDomains;
    private long silentSinceNanos;
    private volatile LinkState state = LinkState.CONNECTED;

    /** Whether there is nothing that an answer could change. */
    private volatile boolean undisturbed = true;

    /**
     * Sets what can be reached at most.
     *
     * @param servers number of servers of all services
     * @param failureDomains number of their failure domains
     */
    public synchronized void configure(int servers, int failureDomains) {
        knownServers = servers;
        knownDomains = failureDomains;
    }

    /**
     * Returns what is believed now.
     *
     * @return the state
     */
    public LinkState state() {
        return state;
    }

    /**
     * Records that a server has answered, whatever the answer was.
     *
     * @param server the server
     * @param nowNanos the current time
     * @return the change of the state, or null
     */
    public LinkChange answered(BackendServerId server, long nowNanos) {
        return undisturbed ? null : recordAnswer(server, nowNanos);
    }

    private synchronized LinkChange recordAnswer(BackendServerId server, long nowNanos) {
        failures.remove(server);
        if (state == LinkState.CUT_OFF) {
            answers.put(server, nowNanos);
            answers.values().removeIf(answeredNanos -> nowNanos - answeredNanos > RETURN_NANOS);
            if (answers.size() < Math.min(MIN_RETURN_SERVERS, knownServers)) {
                return null;
            }
        }
        LinkChange change = change(doubtNow(nowNanos), nowNanos);
        answers.clear();
        unanswered.clear();
        return change;
    }

    /**
     * Records that a server was not reached: no connection, or none that still works.
     *
     * @param server the server
     * @param failureDomain its failure domain
     * @param nowNanos the current time
     * @return the change of the state, or null
     */
    public synchronized LinkChange unreachable(
            BackendServerId server, FailureDomainId failureDomain, long nowNanos) {
        undisturbed = false;
        failures.remove(server);
        failures.put(server, nowNanos);
        answers.remove(server);
        if (unanswered.isEmpty()) {
            silentSinceNanos = nowNanos;
        }
        if (unanswered.size() < MAX_FAILURES) {
            unanswered.put(server, failureDomain);
        }
        if (state == LinkState.CUT_OFF) {
            return null;
        }
        return change(isCutOff(nowNanos) ? LinkState.CUT_OFF : doubtNow(nowNanos), nowNanos);
    }

    /**
     * Returns whether servers of other failure domains should be tried, because none has answered
     * since several were not reached.
     *
     * @return true also if the instance is known to be cut off
     */
    public synchronized boolean needsTest() {
        return state == LinkState.CUT_OFF
                || state == LinkState.DOUBTFUL
                        && unanswered.size() >= Math.min(MIN_SERVERS, knownServers);
    }

    /**
     * Forgets old failures.
     *
     * @param nowNanos the current time
     * @return the change of the state, or null
     */
    public synchronized LinkChange expire(long nowNanos) {
        return state == LinkState.DOUBTFUL ? change(doubtNow(nowNanos), nowNanos) : null;
    }

    private boolean isCutOff(long nowNanos) {
        Set<FailureDomainId> domains = new HashSet<>(unanswered.values());
        return unanswered.size() >= Math.min(MIN_SERVERS, knownServers)
                && domains.size() >= Math.min(MIN_FAILURE_DOMAINS, knownDomains)
                && nowNanos - silentSinceNanos >= MIN_SILENT_NANOS;
    }

    private LinkState doubtNow(long nowNanos) {
        failures.values().removeIf(failedNanos -> nowNanos - failedNanos > DOUBT_NANOS);
        return failures.size() >= MIN_DOUBTFUL_SERVERS ? LinkState.DOUBTFUL : LinkState.CONNECTED;
    }

    private LinkChange change(LinkState next, long nowNanos) {
        undisturbed = next == LinkState.CONNECTED && failures.isEmpty();
        if (next == state) {
            return null;
        }
        LinkState before = state;
        state = next;
        return new LinkChange(
                before,
                next,
                unanswered.size(),
                new HashSet<>(unanswered.values()).size(),
                unanswered.isEmpty() ? 0 : nowNanos - silentSinceNanos);
    }
}
