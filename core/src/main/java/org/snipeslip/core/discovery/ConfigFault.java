package org.snipeslip.core.discovery;

import org.snipeslip.core.config.Route;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.id.ServiceId;

/**
 * A part of a discovered configuration that cannot be applied as it stands. The rest of the
 * configuration is applied.
 */
public sealed interface ConfigFault {
    /**
     * Returns which part cannot be applied, and why.
     *
     * @return a description for logs
     */
    String reason();

    /**
     * A route that cannot be read. The last readable route of the same name stays in force. Without
     * one, calls that match are refused as not run: without the placeholder, they would reach the
     * service of a route with a shorter prefix.
     *
     * @param placeholder a route with the same host and prefix and without a service, or null if
     *     the host or the prefix cannot be read
     * @param name name of the route
     */
    record MalformedRoute(String name, Route placeholder, String reason) implements ConfigFault {}

    /**
     * A service that cannot be read. Its last readable version stays in force; without one, calls
     * to it are refused as not run.
     *
     * @param id name of the service
     */
    record MalformedService(ServiceId id, String reason) implements ConfigFault {}

    /**
     * An organisation that cannot be read. Its last readable version stays in force; without one,
     * its keys are unknown.
     *
     * @param id name of the organisation
     */
    record MalformedOrganisation(OrganisationId id, String reason) implements ConfigFault {}

    /**
     * A value that this version does not know. The route is in force with the most cautious
     * meaning.
     *
     * @param name name of the route
     */
    record UnknownRouteKind(String name, String reason) implements ConfigFault {}
}
