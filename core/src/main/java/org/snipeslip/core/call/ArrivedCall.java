package org.snipeslip.core.call;

import org.snipeslip.core.config.Organisation;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.routing.HomeRegions;

/**
 * A call that has a route and may be served from this region.
 *
 * @param event what is known of the call
 * @param route its route
 * @param organisation its organisation, or null if it has none
 * @param homeRegions the regions in which it may be served
 * @param arrivedNanos when it arrived
 */
record ArrivedCall(
        Event.CallArrived event,
        Route route,
        Organisation organisation,
        HomeRegions homeRegions,
        long arrivedNanos) {}
