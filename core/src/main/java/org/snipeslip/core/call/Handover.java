package org.snipeslip.core.call;

/**
 * What an instance states with a call that it passes to another one, which then sends it to a
 * backend server and never passes it on again.
 *
 * @param version the latest version of the configuration that the call must be handled by
 * @param retriesLeft further servers that the call may be sent to after the first one
 * @param earnsRetry whether the call counts for the retry budget of the instance that sends it; it
 *     counts for one instance only
 */
public record Handover(long version, int retriesLeft, boolean earnsRetry) {}
