package org.snipeslip.core.instance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.snipeslip.core.membership.MemberView;
import org.snipeslip.core.once.ClaimDecision;
import org.snipeslip.core.once.ClaimEnd;
import org.snipeslip.core.once.ClaimRequest;

/**
 * Collects what one event causes: actions for the shell, and values that {@link Instance} carries
 * from one engine to another when no lock is held. Used by one thread for one event.
 */
public final class Outbox {
    private final List<Action> actions = new ArrayList<>(4);
    private Deque<Object> internal;
    private boolean storeCalls;

    /**
     * Adds an action.
     *
     * @param action the action
     */
    public void add(Action action) {
        actions.add(action);
        if (action instanceof Action.ConfigAdopted) {
            addInternal(action);
        } else if (action instanceof Action.CallStore) {
            storeCalls = true;
        }
    }

    /**
     * Asks the at-most-once engine for a claim.
     *
     * @param claim the claim
     */
    public void claim(ClaimRequest claim) {
        addInternal(claim);
    }

    /**
     * Tells the at-most-once engine how a granted call ended.
     *
     * @param end the end
     */
    public void end(ClaimEnd end) {
        addInternal(end);
    }

    /**
     * Tells the call engine the decision on a claim.
     *
     * @param decision the decision
     */
    public void decide(ClaimDecision decision) {
        addInternal(decision);
    }

    /**
     * Tells the other engines that the members changed.
     *
     * @param view the new view
     */
    public void membersChanged(MemberView view) {
        addInternal(view);
    }

    /**
     * Returns the actions in the order they were added.
     *
     * @return the actions
     */
    public List<Action> actions() {
        return actions;
    }

    boolean hasStoreCalls() {
        return storeCalls;
    }

    /** Takes the next value meant for another engine, or null. */
    Object pollInternal() {
        return internal == null ? null : internal.poll();
    }

    private void addInternal(Object value) {
        if (internal == null) {
            internal = new ArrayDeque<>(2);
        }
        internal.add(value);
    }
}
