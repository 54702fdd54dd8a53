package org.snipeslip.core.admission;

import org.snipeslip.core.config.CallClass;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.routing.HomeRegions;

/**
 * Identifies the calls that share a FIFO queue: those of one class, rank and organisation that may
 * be served in the same regions. Calls with different regions in one queue would block each other.
 *
 * @param callClass priority class of the calls
 * @param rank precedence within the class
 * @param organisation the organisation, or null for all calls without one
 * @param homeRegions where the calls may be served
 */
public record FlowKey(
        CallClass callClass, CallRank rank, OrganisationId organisation, HomeRegions homeRegions) {}
