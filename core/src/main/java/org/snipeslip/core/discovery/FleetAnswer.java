package org.snipeslip.core.discovery;

import java.util.List;

/** The answer to a {@link FleetCall}. */
public sealed interface FleetAnswer {
    /**
     * A page of a list.
     *
     * @param objects the objects in order of names
     * @param more whether further pages follow
     * @param revision revision of the store at the time of the page
     */
    record Page(List<FleetObject> objects, boolean more, long revision) implements FleetAnswer {
        /** Copies the list. */
        public Page {
            objects = List.copyOf(objects);
        }
    }

    /**
     * Changes since the revision of a watch; empty if its wait ended without one.
     *
     * @param objects the changed objects in order of their changes
     * @param revision revision to continue from
     */
    record Changes(List<FleetObject> objects, long revision) implements FleetAnswer {
        /** Copies the list. */
        public Changes {
            objects = List.copyOf(objects);
        }
    }

    /** The object exists now. */
    record Registered() implements FleetAnswer {}

    /** The store no longer holds the history since the revision of a watch. */
    record HistoryGone() implements FleetAnswer {}

    /**
     * No usable answer.
     *
     * @param refused whether the store refused the call; otherwise it may have taken effect
     * @param reason what happened
     */
    record Failed(boolean refused, String reason) implements FleetAnswer {}
}
