package org.snipeslip.server.settings;

/** Names of the selection policies. */
public enum SelectionName {
    /** Least expected time to an answer; the default. */
    EXPECTED_TIME("expected-time"),
    /** Baseline: any backend server with equal probability. */
    RANDOM("random"),
    /** Baseline: each backend server in turn. */
    ROUND_ROBIN("round-robin"),
    /** Baseline: fewest calls of this instance in flight. */
    LEAST_IN_FLIGHT("least-in-flight"),
    /** Baseline: the better of two random ones. */
    POWER_OF_TWO("power-of-two");

    private final String text;

    SelectionName(String text) {
        this.text = text;
    }

    /**
     * Returns the name as written in settings.
     *
     * @return the text
     */
    public String text() {
        return text;
    }

    static SelectionName of(String text) {
        for (SelectionName name : values()) {
            if (name.text.equals(text)) {
                return name;
            }
        }
        throw new IllegalArgumentException("the schema admits an unknown policy " + text);
    }
}
