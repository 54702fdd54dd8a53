package org.snipeslip.core.call;

/** What a refusal says about the work. */
public enum Outcome {
    /** The work provably did not start. */
    NOT_RUN("not-run"),
    /** The work may have run, in part or whole. */
    UNKNOWN("unknown");

    private final String text;

    Outcome(String text) {
        this.text = text;
    }

    /**
     * Returns the value used in answers and logs.
     *
     * @return the text
     */
    public String text() {
        return text;
    }
}
