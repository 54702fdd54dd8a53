package org.snipeslip.core.call;

import org.snipeslip.core.id.ApiKeyDigest;
import org.snipeslip.core.id.IdempotencyKey;
import org.snipeslip.core.id.OrganisationId;

/**
 * Properties of a call that are known before its body is read.
 *
 * @param method HTTP method
 * @param host host name without port, lower case
 * @param path raw path without the query
 * @param organisation the organisation that the caller named, or null
 * @param idempotencyKey the idempotency key that the caller sent, or null
 * @param fingerprint digest of method, path and declared body length, to detect an idempotency key
 *     that is reused for a different request
 * @param remainingNanos time until the caller's deadline, or 0 to use the default of the route
 * @param depth number of load-balanced calls above this one in the call tree
 * @param retriesLeft retries that the whole call tree may still use, or -1 if the caller stated no
 *     number
 * @param bodyReplayable whether the body is empty or small enough to be sent again
 * @param identity computes the digest that repetitions of the request share
 * @param handover what another instance states that has passed the call, or null if it comes from a
 *     caller
 * @param key digest of the caller's API key, or null if it has no usable one
 */
public record CallHead(
        String method,
        String host,
        String path,
        OrganisationId organisation,
        IdempotencyKey idempotencyKey,
        String fingerprint,
        long remainingNanos,
        int depth,
        int retriesLeft,
        boolean bodyReplayable,
        RequestIdentity identity,
        Handover handover,
        ApiKeyDigest key) {
    /** Creates the head of a request without an API key. */
    public CallHead(
            String method,
            String host,
            String path,
            OrganisationId organisation,
            IdempotencyKey idempotencyKey,
            String fingerprint,
            long remainingNanos,
            int depth,
            int retriesLeft,
            boolean bodyReplayable,
            RequestIdentity identity,
            Handover handover) {
        this(
                method,
                host,
                path,
                organisation,
                idempotencyKey,
                fingerprint,
                remainingNanos,
                depth,
                retriesLeft,
                bodyReplayable,
                identity,
                handover,
                null);
    }

    /** Creates the head of a caller's request that is never compared with others. */
    public CallHead(
            String method,
            String host,
            String path,
            OrganisationId organisation,
            IdempotencyKey idempotencyKey,
            String fingerprint,
            long remainingNanos,
            int depth,
            int retriesLeft,
            boolean bodyReplayable) {
        this(
                method,
                host,
                path,
                organisation,
                idempotencyKey,
                fingerprint,
                remainingNanos,
                depth,
                retriesLeft,
                bodyReplayable,
                RequestIdentity.UNKNOWN,
                null);
    }
}
