package org.snipeslip.core.quota;

import java.util.List;
import org.snipeslip.core.id.OrganisationId;

/**
 * Asks another instance to lend parts of quotas, or to renew what it has lent. The asker has given
 * up what exceeds {@link Want#kept} before it sends the message.
 *
 * @param from name of the asking instance
 * @param incarnation distinguishes the asking process from earlier ones of the same name
 * @param number increases with each message from one process to another
 * @param kind for whom the asker borrows
 * @param wants the organisations concerned
 */
public record QuotaAsk(String from, long incarnation, long number, Kind kind, List<Want> wants) {
    /** Copies the list. */
    public QuotaAsk {
        wants = List.copyOf(wants);
    }

    /** Relation between the asker and the asked instance. */
    public enum Kind {
        /** A coordinator asks an instance of its region for unused calls of its own part. */
        OWN_PART,
        /** A coordinator asks that of another region. */
        REGION,
        /** An instance asks the coordinator of its region, for its own calls. */
        MEMBER
    }

    /**
     * What is asked for one organisation.
     *
     * @param organisation the organisation
     * @param kept calls in a window that the asker has borrowed from the asked instance and still
     *     uses
     * @param wanted calls in a window that it wants in total
     */
    public record Want(OrganisationId organisation, int kept, int wanted) {}
}
