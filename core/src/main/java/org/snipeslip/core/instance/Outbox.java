package org.snipeslip.core.instance;

import java.util.ArrayList;
import java.util.List;

/** Collects the actions that one event causes. Used by one thread for one event. */
public final class Outbox {
    private final List<Action> actions = new ArrayList<>(4);

    /**
     * Adds an action.
     *
     * @param action the action
     */
    public void add(Action action) {
        actions.add(action);
    }

    /**
     * Returns the actions in the order they were added.
     *
     * @return the actions
     */
    public List<Action> actions() {
        return actions;
    }
}
