package org.snipeslip.core.call;

import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.RouteId;
import org.snipeslip.core.id.TryId;

/** One try of a call. Guarded by the lock of its {@link ServiceShard}. */
final class OpenTry {
    final TryId id;
    final ServerState server;
    final BackendServerId serverId;
    final long sentAtNanos;
    boolean open = true;

    /** Route of the call. */
    RouteId route;

    /** What was known of the request when it was sent. */
    long suspicionEpoch;

    int suspicionLevel;

    /** Whether the head of the response says that the server will end. */
    private boolean saysLeaving;

    /** Whether no other call of this instance may run on the server at the same time. */
    private boolean alone;

    OpenTry(TryId id, ServerState server, long sentAtNanos) {
        this.id = id;
        this.server = server;
        this.serverId = server.server.id();
        this.sentAtNanos = sentAtNanos;
    }

    /** Ends the try and decrements the in-flight count of its server. */
    void release() {
        open = false;
        server.load.ended();
        if (saysLeaving) {
            server.leavingResponses--;
        }
        if (alone) {
            server.runsSuspect = false;
        }
    }

    /** Keeps other calls away from the server until the response is known to be whole or broken. */
    void sayLeaving() {
        saysLeaving = true;
        server.leavingResponses++;
    }

    boolean saysLeaving() {
        return saysLeaving;
    }

    /** Keeps other calls of this instance away from the server while the try is open. */
    void runAlone() {
        alone = true;
        server.runsSuspect = true;
    }
}
