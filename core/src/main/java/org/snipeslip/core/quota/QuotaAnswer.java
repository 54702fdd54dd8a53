package org.snipeslip.core.quota;

import java.util.List;
import org.snipeslip.core.id.OrganisationId;

/**
 * Answer to a {@link QuotaAsk}. Replaces what the asker had borrowed from the answering instance
 * for these organisations.
 *
 * @param owning whether the answering instance uses its own part or has borrowed others, so that
 *     the asker uses its own only when what was admitted under those is over
 * @param grants the organisations concerned
 */
public record QuotaAnswer(boolean owning, List<Grant> grants) {
    /** Copies the list. */
    public QuotaAnswer {
        grants = List.copyOf(grants);
    }

    /**
     * What is lent for one organisation.
     *
     * @param organisation the organisation
     * @param calls calls in a window that the asker may use
     * @param leaseMillis for how long, counted from when the question was sent
     */
    public record Grant(OrganisationId organisation, int calls, long leaseMillis) {}
}
