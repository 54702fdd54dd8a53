package org.snipeslip.core.quota;

import java.util.LinkedHashMap;
import java.util.Map;

/** The number of the last question of each process that borrows. Not thread-safe. */
final class QuotaQuestions {
    /** The processes whose last question is the oldest are forgotten first. */
    private static final int MAX_BORROWERS = 2_048;

    private final Map<OrganisationQuota.Borrower, Long> lastNumbers =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(
                        Map.Entry<OrganisationQuota.Borrower, Long> eldest) {
                    return size() > MAX_BORROWERS;
                }
            };

    /** Notes a question; returns false if a later one of the same process came before it. */
    boolean isLatest(OrganisationQuota.Borrower borrower, long number) {
        Long last = lastNumbers.remove(borrower);
        boolean latest = last == null || last < number;
        lastNumbers.put(borrower, latest ? number : last);
        return latest;
    }
}
