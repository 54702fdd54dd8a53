package org.snipeslip.core.instance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.snipeslip.core.idempotency.ClaimDecision;
import org.snipeslip.core.idempotency.ClaimEnd;
import org.snipeslip.core.idempotency.ClaimRequest;
import org.snipeslip.core.membership.MemberView;
import org.snipeslip.core.quota.QuotaReturn;
import org.snipeslip.core.suspect.SuspectAnswer;
import org.snipeslip.core.suspect.SuspectChange;
import org.snipeslip.core.suspect.SuspectQuestion;

/**
 * Collects the results of one event: actions for the runtime, and messages that {@link Instance}
 * delivers from one engine to another while no lock is held. Used by one thread for one event.
 */
public final class Outbox {
    private final List<Action> actions = new ArrayList<>(4);
    private Deque<Object> engineMessages;
    private boolean storeCalls;

    /**
     * Adds an action for the runtime; {@link Action.ConfigAdopted} and {@link
     * Action.SuspicionChanged} are also delivered to the engines.
     *
     * @param action the action
     */
    public void add(Action action) {
        actions.add(action);
        if (action instanceof Action.ConfigAdopted || action instanceof Action.SuspicionChanged) {
            addEngineMessage(action);
        } else if (action instanceof Action.CallStore) {
            storeCalls = true;
        }
    }

    /**
     * Requests a claim from the at-most-once engine.
     *
     * @param claim the request
     */
    public void requestClaim(ClaimRequest claim) {
        addEngineMessage(claim);
    }

    /**
     * Reports to the at-most-once engine how a call with a granted claim ended.
     *
     * @param end outcome of the call
     */
    public void reportClaimEnd(ClaimEnd end) {
        addEngineMessage(end);
    }

    /**
     * Reports the decision on a claim to the call engine.
     *
     * @param decision the decision
     */
    public void reportClaimDecision(ClaimDecision decision) {
        addEngineMessage(decision);
    }

    /**
     * Reports what a call has shown about a request that this instance may not remember.
     *
     * @param change the change, which must not be logged here
     */
    public void reportForeignSuspicion(SuspectChange change) {
        addEngineMessage(change);
    }

    /**
     * Asks instances of the home regions about a request.
     *
     * @param question the question
     */
    public void askSuspicion(SuspectQuestion question) {
        addEngineMessage(question);
    }

    /**
     * Reports the answer to such a question to the call engine.
     *
     * @param answer the answer
     */
    public void reportVerdict(SuspectAnswer answer) {
        addEngineMessage(answer);
    }

    /**
     * Reports that a call that was counted for a quota has not run.
     *
     * @param ended the call
     */
    public void reportQuotaReturn(QuotaReturn ended) {
        addEngineMessage(ended);
    }

    /**
     * Reports a change of the members to the other engines.
     *
     * @param view the new view
     */
    public void reportMembersChanged(MemberView view) {
        addEngineMessage(view);
    }

    /**
     * Returns the actions.
     *
     * @return the actions, in the order in which they were added
     */
    public List<Action> actions() {
        return actions;
    }

    boolean hasStoreCalls() {
        return storeCalls;
    }

    /** Removes and returns the next message to an engine, or returns null. */
    Object pollEngineMessage() {
        return engineMessages == null ? null : engineMessages.poll();
    }

    private void addEngineMessage(Object message) {
        if (engineMessages == null) {
            engineMessages = new ArrayDeque<>(2);
        }
        engineMessages.add(message);
    }
}
