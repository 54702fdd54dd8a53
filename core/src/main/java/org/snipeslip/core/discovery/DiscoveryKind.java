package org.snipeslip.core.discovery;

/** Kinds of objects that an instance reads from the store. */
public enum DiscoveryKind {
    /** The configuration: routes, services and limits on the requests of callers. */
    CONFIG,
    /** Backend servers, one object each. */
    SERVERS,
    /** Failure domains that are being evacuated, one object each. */
    EVACUATIONS,
    /** Instances that have started, one object each. */
    INSTANCES,
    /** Orders to move services to another version; followed only if the settings ask for it. */
    ROLLOUTS
}
