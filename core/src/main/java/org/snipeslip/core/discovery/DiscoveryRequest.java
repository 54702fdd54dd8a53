package org.snipeslip.core.discovery;

/** A request to the store from which configuration and servers are discovered. */
public sealed interface DiscoveryRequest {
    /** Returns the kind of objects that the request concerns. */
    DiscoveryKind kind();

    /**
     * Reads one page of the list of objects of a kind.
     *
     * @param kind kind of the objects
     * @param after last name of the previous page; empty for the first page
     * @param stale whether the response may be outdated; such a request costs less
     */
    record ListPage(DiscoveryKind kind, String after, boolean stale) implements DiscoveryRequest {}

    /**
     * Waits for changes (long poll).
     *
     * @param kind kind of the objects
     * @param revision revision after which changes are returned
     * @param waitMillis maximum wait for a change
     * @param stale whether the response may be outdated; such a request costs less
     * @param attempt sequence number that distinguishes otherwise equal requests
     */
    record Watch(DiscoveryKind kind, long revision, long waitMillis, boolean stale, long attempt)
            implements DiscoveryRequest {}

    /**
     * Creates the object of this instance unless it exists.
     *
     * @param name name of the instance
     */
    record Register(String name) implements DiscoveryRequest {
        @Override
        public DiscoveryKind kind() {
            return DiscoveryKind.INSTANCES;
        }
    }
}
