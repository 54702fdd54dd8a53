package org.snipeslip.core.config;

import java.util.Optional;

/** Kinds of configuration objects, in the order in which a {@link ConfigHead} lists their parts. */
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
     * Returns the kind as written in configuration files.
     *
     * @return value of the field "kind"
     */
    public String text() {
        return text;
    }

    /**
     * Finds a kind by its text.
     *
     * @param text value of the field "kind"
     * @return the kind, or empty if the text names none
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
