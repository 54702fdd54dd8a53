package org.snipeslip.core.call;

import org.snipeslip.core.id.RequestDigest;

/**
 * Computes the digest of a request on demand, because it is needed only while servers crash. May be
 * used only while the call is open.
 */
@FunctionalInterface
public interface RequestIdentity {
    /** Identity of a request that is never compared with others. */
    RequestIdentity UNKNOWN = () -> null;

    /**
     * Returns the digest of the request.
     *
     * @return the digest, or null while the body has not been read to its end
     */
    RequestDigest digest();
}
