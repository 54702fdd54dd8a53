package org.snipeslip.core.instance;

/** Gives tests in other packages access to the messages between engines. */
public final class OutboxReader {
    private OutboxReader() {}

    /**
     * Removes and returns the next message to another engine.
     *
     * @param outbox the outbox
     * @return the message, or null if there is none
     */
    public static Object poll(Outbox outbox) {
        return outbox.pollEngineMessage();
    }
}
