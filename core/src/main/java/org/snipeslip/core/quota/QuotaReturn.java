package org.snipeslip.core.quota;

import org.snipeslip.core.id.OrganisationId;

/**
 * An admitted call has provably not run, so it does not count.
 *
 * @param organisation the organisation of the call
 * @param admittedNanos when it was admitted
 */
public record QuotaReturn(OrganisationId organisation, long admittedNanos) {}
