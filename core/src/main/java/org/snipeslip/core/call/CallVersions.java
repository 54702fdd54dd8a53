package org.snipeslip.core.call;

import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.rollout.ServiceVersions;
import org.snipeslip.core.rollout.VersionGroup;

/**
 * The part of a rollout in the selection of servers and in what is learned from their responses. A
 * call for the new version uses an old server if no new one has room, but never the other way
 * round. Repeated tries go to old servers. Guarded by the shard's lock.
 */
final class CallVersions {
    /** A try that was given up sooner may have been fast. */
    private static final double LONG_TRY_FACTOR = 1.5;

    private final ServiceVersions versions;

    CallVersions(ServiceVersions versions) {
        this.versions = versions;
    }

    /** Decides once to which versions the first try of a call goes. */
    void assign(CallState call) {
        if (!call.versionDecided) {
            call.versionDecided = true;
            call.versionGroup = versions.assign();
        }
    }

    /** Lets a call for the new version use old servers; returns false if it may already do so. */
    boolean fallBack(CallState call) {
        if (groupOf(call) != VersionGroup.NEW) {
            return false;
        }
        if (call.tries.isEmpty()) {
            versions.giveBack();
        }
        call.versionGroup = VersionGroup.OLD;
        call.versionFellBack = true;
        return true;
    }

    boolean allows(CallState call, ServerState state) {
        return versions.allows(state.server, groupOf(call));
    }

    /** Returns whether the version of a server still gets calls. */
    boolean maySend(BackendServer server) {
        return versions.maySend(server);
    }

    private VersionGroup groupOf(CallState call) {
        boolean first = call.tries.isEmpty() || call.versionFellBack;
        return first ? call.versionGroup : versions.repeatGroup();
    }

    void answered(OpenTry openTry, boolean error, long nowNanos) {
        long latencyNanos = nowNanos - openTry.sentAtNanos;
        // The response time of a cold server says nothing about its version.
        boolean comparable = !error && !openTry.server.isInColdPeriod(nowNanos);
        versions.answered(
                openTry.server.server,
                openTry.route,
                error,
                comparable ? openTry.server.load.serverNanos(latencyNanos) : -1);
    }

    void failed(OpenTry openTry, TryFailure failure, double meanNanos, long nowNanos) {
        switch (failure) {
            case BROKEN_BEFORE_HEAD, BROKEN_BODY, MALFORMED_BODY, MALFORMED ->
                    versions.answered(openTry.server.server, openTry.route, true, -1);
            case TIMED_OUT -> givenUp(openTry, meanNanos, nowNanos);
            default -> {
                // The request has not run, or says nothing about the version.
            }
        }
    }

    void givenUp(OpenTry openTry, double meanNanos, long nowNanos) {
        double nanos = openTry.server.load.serverNanos(nowNanos - openTry.sentAtNanos);
        if (nanos > LONG_TRY_FACTOR * meanNanos && !openTry.server.isInColdPeriod(nowNanos)) {
            versions.givenUp(openTry.server.server, openTry.route, nanos);
        }
    }
}
