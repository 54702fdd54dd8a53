package org.snipeslip.core.config;

import java.util.Optional;

/** The kinds of configuration objects, in the order in which a head lists their parts. */
public enum ObjectKind {
    /** {@link HomeRegion}. */
    HOME_REGION("HomeRegion"),
    /** {@link FailureDomain}. */
    FAILURE_DOMAIN("FailureDomain"),
    /** {@link Organisation}. */
    ORGANISATION("Organisation"),
    /** {@link Service}. */
    SERVICE("Service"),
    /** {@link Route}. */
    ROUTE("Route");

    private final String text;

    ObjectKind(String text) {
        this.text = text;
    }

    /**
     * Returns the kind as written in files.
     *
     * @return the text of the field "kind"
     */
    public String text() {
        return text;
    }

    /**
     * Finds a kind by its text.
     *
     * @param text the text of the field "kind"
     * @return the kind, empty if there is none
     */
    public static Optional<ObjectKind> of(String text) {
        for (ObjectKind kind : values()) {
            if (kind.text.equals(text)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
