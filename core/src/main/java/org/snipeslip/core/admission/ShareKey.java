package org.snipeslip.core.admission;

import org.snipeslip.core.id.OrganisationId;

/**
 * The calls that are counted together when room is shared.
 *
 * @param rank rank of the calls
 * @param organisation who sends them, or null for all calls without an organisation
 */
public record ShareKey(CallRank rank, OrganisationId organisation) {}
