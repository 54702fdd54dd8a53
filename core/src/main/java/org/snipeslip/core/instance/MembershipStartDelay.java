package org.snipeslip.core.instance;

import org.snipeslip.core.membership.MemberView;

/**
 * Withholds the member view of a starting instance until the instance had time to learn of the
 * other members. An instance that knows only itself would claim every partition of the at-most-once
 * engine, and the actual owners would have to wait for its lease to expire. Guarded by its own
 * lock, the last in the lock order.
 */
final class MembershipStartDelay {
    /** Fires at the end of the delay, when the members are regarded as known. */
    static final TimerId TIMER = new TimerId(EngineName.INSTANCE, "members-settled");

    /** Two ping periods: one to reach a seed and one to receive the response to its gossip. */
    private static final long DELAY_NANOS = 2_000_000_000L;

    private boolean ended;
    private MemberView latestView;

    Action.SetTimer start() {
        return new Action.SetTimer(TIMER, DELAY_NANOS);
    }

    /** Returns the view after the delay; before its end, stores the view and returns null. */
    synchronized MemberView filter(MemberView view) {
        if (ended) {
            return view;
        }
        latestView = view;
        return null;
    }

    /** Ends the delay and returns the latest stored view, or null if there is none. */
    synchronized MemberView end() {
        ended = true;
        MemberView last = latestView;
        latestView = null;
        return last;
    }

    synchronized boolean hasEnded() {
        return ended;
    }
}
