package org.snipeslip.core.instance;

/** Lets tests of single engines read what an engine passes to others. */
public final class OutboxReader {
    private OutboxReader() {}

    /**
     * Takes the next value meant for another engine.
     *
     * @param outbox the outbox
     * @return the value, or null
     */
    public static Object poll(Outbox outbox) {
        return outbox.pollInternal();
    }
}
