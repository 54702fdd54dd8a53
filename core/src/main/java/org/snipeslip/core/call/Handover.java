package org.snipeslip.core.call;

import org.snipeslip.core.id.OrganisationId;

/**
 * What an instance states with a call that it passes to another one, which then sends it to a
 * backend server and never passes it on again.
 *
 * @param version the latest version of the configuration that the call must be handled by
 * @param retriesLeft further servers that the call may be sent to after the first one
 * @param earnsRetry whether the call counts for the retry budget of the instance that sends it; it
 *     counts for one instance only
 * @param organisation the organisation to which the caller's API key belongs, or null if there is
 *     none; the key itself is not passed on
 */
public record Handover(
        long version, int retriesLeft, boolean earnsRetry, OrganisationId organisation) {
    /**
     * Creates the statement for a call without an organisation.
     *
     * @param version the latest version of the configuration that the call must be handled by
     * @param retriesLeft further servers that the call may be sent to after the first one
     * @param earnsRetry whether the call counts for the retry budget of the other instance
     */
    public Handover(long version, int retriesLeft, boolean earnsRetry) {
        this(version, retriesLeft, earnsRetry, null);
    }
}
