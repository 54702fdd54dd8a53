package org.snipeslip.core.discovery;

/** A call to the store that holds the fleet's objects. */
public sealed interface FleetCall {
    /** Returns the kind of objects the call is about. */
    FleetKind kind();

    /**
     * Reads the objects of a kind, page by page.
     *
     * @param kind the kind
     * @param after name after which the page starts; empty for the first page
     * @param stale whether the answer may be somewhat old; such a call costs less
     */
    record ListPage(FleetKind kind, String after, boolean stale) implements FleetCall {}

    /**
     * Waits for changes.
     *
     * @param kind the kind
     * @param revision revision after which changes are wanted
     * @param waitMillis longest wait for a change
     * @param stale whether the answer may be somewhat old; such a call costs less
     * @param attempt tells repeated calls apart
     */
    record Watch(FleetKind kind, long revision, long waitMillis, boolean stale, long attempt)
            implements FleetCall {}

    /**
     * Creates the object of this instance unless it exists.
     *
     * @param name its name
     */
    record Register(String name) implements FleetCall {
        @Override
        public FleetKind kind() {
            return FleetKind.INSTANCES;
        }
    }
}
