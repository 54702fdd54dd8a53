package org.snipeslip.core.instance;

import org.snipeslip.core.membership.MemberView;

/**
 * Holds back the member view of a starting instance until it had time to hear of the others. An
 * instance that knows only itself would take every partition of the at-most-once engine, and the
 * rightful owners would have to wait for its lease. Guarded by its own lock, last in the order.
 */
final class StartSettling {
    /** Fires when the members count as known. */
    static final TimerId TIMER = new TimerId(EngineName.INSTANCE, "members-settled");

    /** Two ping periods: one to reach a seed, one for its gossip to be answered. */
    private static final long SETTLE_NANOS = 2_000_000_000L;

    private boolean settled;
    private MemberView held;

    Action.SetTimer start() {
        return new Action.SetTimer(TIMER, SETTLE_NANOS);
    }

    /** Returns the view if it may be used now, else keeps it and returns null. */
    synchronized MemberView pass(MemberView view) {
        if (settled) {
            return view;
        }
        held = view;
        return null;
    }

    /** Ends the wait and returns the view that was kept, or null if there was none. */
    synchronized MemberView settle() {
        settled = true;
        MemberView last = held;
        held = null;
        return last;
    }

    synchronized boolean isSettled() {
        return settled;
    }
}
