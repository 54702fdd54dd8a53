package org.snipeslip.core.config;

import java.util.Comparator;

/** One object that operators edit. */
public sealed interface ConfigObject
        permits HomeRegion, FailureDomain, Organisation, Service, Route {
    /** Order of kind and name, the order of the parts of a head. */
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
     * Returns the kind and the name, as in messages.
     *
     * @return for example "Route tide-reads"
     */
    default String label() {
        return kind().text() + " " + name();
    }
}
