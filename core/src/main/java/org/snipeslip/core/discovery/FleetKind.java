package org.snipeslip.core.discovery;

/** Kinds of objects that an instance follows. */
public enum FleetKind {
    /** The configuration: routes, services, limits of callers. */
    CONFIG,
    /** Backend servers, one object each. */
    SERVERS,
    /** Failure domains that are being evacuated, one object each. */
    EVACUATIONS,
    /** Instances that have started, one object each. */
    INSTANCES
}
