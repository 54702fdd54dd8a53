package org.snipeslip.core.admission;

import org.snipeslip.core.config.CallClass;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.routing.HomeRegions;

/**
 * Names the calls that wait in one line: those of one class and organisation that may be served in
 * the same regions. Calls of one line that differ in their regions would block each other.
 *
 * @param callClass priority
 * @param organisation the organisation, or null for all calls without one
 * @param homeRegions where the calls may be served
 */
public record FlowKey(CallClass callClass, OrganisationId organisation, HomeRegions homeRegions) {}
