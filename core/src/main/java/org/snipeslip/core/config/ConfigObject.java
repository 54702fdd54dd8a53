package org.snipeslip.core.config;

import java.util.Comparator;

/** A configuration object, which operators edit. */
public sealed interface ConfigObject
        permits HomeRegion, FailureDomain, Organisation, Service, Route {
    /** Sorts by kind and name, the order of the parts in a {@link ConfigHead}. */
    Comparator<ConfigObject> ORDER =
            Comparator.comparing(ConfigObject::kind).thenComparing(ConfigObject::name);

    /**
     * Returns the kind.
     *
     * @return the kind
     */
    ObjectKind kind();

    /**
     * Returns the name, unique among the objects of the kind.
     *
     * @return the name
     */
    String name();

    /**
     * Returns the kind and the name, as used in messages.
     *
     * @return for example "Route tide-reads"
     */
    default String label() {
        return kind().text() + " " + name();
    }
}
