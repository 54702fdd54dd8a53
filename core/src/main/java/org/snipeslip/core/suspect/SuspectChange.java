package org.snipeslip.core.suspect;

import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.RequestId;

/**
 * A change of what an instance believes about a request, for the log.
 *
 * @param suspicion what it believes now
 * @param source what has changed it
 * @param request the call that has changed it, or null if another instance did
 * @param server the crashed server, or null
 */
public record SuspectChange(
        Suspicion suspicion, Source source, RequestId request, BackendServerId server) {
    /** What changes a suspicion. */
    public enum Source {
        /** A server crashed under a call of this instance. */
        CRASH,
        /** A call of this instance was answered. */
        SUCCESS,
        /** Another instance has told it. */
        INSTANCE
    }
}
