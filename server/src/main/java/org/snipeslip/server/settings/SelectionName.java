package org.snipeslip.server.settings;

import org.snipeslip.core.selection.PolicyName;

/** Names of the backend server selection policies, as used in settings. */
public enum SelectionName {
    /** The backend server with the least expected response time; the default. */
    EXPECTED_TIME("expected-time", PolicyName.ADAPTIVE),
    /** Baseline: a random backend server, with equal probability. */
    RANDOM("random", PolicyName.RANDOM),
    /** Baseline: each backend server in turn. */
    ROUND_ROBIN("round-robin", PolicyName.ROUND_ROBIN),
    /** Baseline: the backend server with the fewest calls of this instance in flight. */
    LEAST_IN_FLIGHT("least-in-flight", PolicyName.LEAST_IN_FLIGHT),
    /** Baseline: the better of two random backend servers. */
    POWER_OF_TWO("power-of-two", PolicyName.TWO_CHOICES);

    private final String text;
    private final PolicyName policy;

    SelectionName(String text, PolicyName policy) {
        this.text = text;
        this.policy = policy;
    }

    /**
     * Returns the matching policy of the decision core.
     *
     * @return the policy
     */
    public PolicyName policy() {
        return policy;
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
        throw new IllegalArgumentException(
                "the schema allows an unknown selection policy: " + text);
    }
}
