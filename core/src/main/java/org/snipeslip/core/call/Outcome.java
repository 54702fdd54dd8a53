package org.snipeslip.core.call;

/** Whether the work of a refused call may have run on a backend server. */
public enum Outcome {
    /** The work provably did not start. */
    NOT_RUN("not-run"),
    /** The work may have run, partly or completely. */
    UNKNOWN("unknown");

    private final String text;

    Outcome(String text) {
        this.text = text;
    }

    /**
     * Returns the value used in responses and logs.
     *
     * @return the text
     */
    public String text() {
        return text;
    }
}
