package org.snipeslip.core.id;

import java.util.Objects;

/** Validation shared by the identifier types. */
final class Names {
    private Names() {}

    static void requireText(String value, String type) {
        Objects.requireNonNull(value, type);
        if (value.isBlank()) {
            throw new IllegalArgumentException(type + " must not be blank");
        }
    }
}
