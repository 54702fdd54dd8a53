package org.snipeslip.core.instance;

/** Lets tests of single engines read the values meant for other engines. */
public final class OutboxValues {
    private OutboxValues() {}

    /**
     * Takes the next value.
     *
     * @param outbox the outbox
     * @return the value, or null
     */
    public static Object poll(Outbox outbox) {
        return outbox.pollInternal();
    }
}
