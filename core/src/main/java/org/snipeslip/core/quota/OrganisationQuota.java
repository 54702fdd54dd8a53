package org.snipeslip.core.quota;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.snipeslip.core.ratelimit.CallWindow;

/**
 * The calls of one organisation that this instance may admit in a window: its own part, and what it
 * has borrowed, less what it has lent. Each admission and each loan keeps
 *
 * <p>calls of the last window + lent calls &lt;= own part + borrowed calls,
 *
 * <p>where a loan counts for the lender until a window after its lease. The sum of the calls of all
 * instances in any window is then at most the sum of the own parts, because each borrowed call is
 * lent by someone, and a call admitted under a loan is in no window any more when the lender uses
 * the loan again. Not thread-safe.
 */
final class OrganisationQuota {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Recent part of a window that shows a sudden rise. */
    private static final long RECENT_NANOS = 1_000 * NANOS_PER_MILLI;

    /** Calls of this time are borrowed in advance: a little more than the pause of questions. */
    private static final long AHEAD_NANOS = 400 * NANOS_PER_MILLI;

    /** One call is kept for an organisation for this time after its last call. */
    private static final long LINGER_NANOS = 15_000 * NANOS_PER_MILLI;

    /** The first question may come before its lender could borrow. */
    private static final int MAX_DENIALS = 4;

    /** Other instances may have returned calls after this time. */
    private static final long DENIED_NANOS = 600 * NANOS_PER_MILLI;

    /** An instance that had too little to lend is asked for more after this time. */
    private static final long SHORT_NANOS = 900 * NANOS_PER_MILLI;

    private final long windowNanos;
    private final CallWindow admitted;
    private final CallWindow attempts;
    private final Map<String, Loan> borrowed = new LinkedHashMap<>();
    private final Map<String, Shortage> shortages = new HashMap<>();
    private final Map<Borrower, Lent> lent = new HashMap<>();
    private int ownPart;
    private boolean attempted;
    private long lastAttemptNanos;
    private boolean starved;
    private int denials;
    private long deniedNanos;

    OrganisationQuota(long windowNanos) {
        this.windowNanos = windowNanos;
        this.admitted = new CallWindow(windowNanos);
        this.attempts = new CallWindow(windowNanos);
    }

    /** Sets the calls of a window that this instance owns. */
    void setOwnPart(int calls) {
        ownPart = calls;
    }

    int ownPart() {
        return ownPart;
    }

    /** Counts a call, whether it will be admitted or not. */
    void attempted(long nowNanos) {
        attempted = true;
        lastAttemptNanos = nowNanos;
        attempts.add(nowNanos, nowNanos);
    }

    /** Admits a call if there is room. */
    boolean admit(long nowNanos) {
        boolean room = admittedCalls(nowNanos) + lentCalls(nowNanos) < limit(nowNanos);
        if (room) {
            admitted.add(nowNanos, nowNanos);
        }
        return room;
    }

    /** Takes back an admitted call that has provably not run. */
    void returned(long admittedNanos, long nowNanos) {
        admitted.remove(admittedNanos, nowNanos);
    }

    /** Returns after which time a refused call may find room. */
    long roomDelayNanos(long nowNanos) {
        int calls = admittedCalls(nowNanos);
        if (calls == 0) {
            return windowNanos / 2;
        }
        long oldestNanos = admitted.lessThanNanos(calls, windowNanos, nowNanos) - nowNanos;
        // If more calls arrive than may be admitted, room is taken before this call returns.
        int excess = Math.max(0, demand(nowNanos) - limit(nowNanos));
        return oldestNanos + windowNanos * excess / Math.max(1, demand(nowNanos));
    }

    /** Returns the calls of a window that the callers of this instance are expected to send. */
    int demand(long nowNanos) {
        if (!attempted || nowNanos - lastAttemptNanos > LINGER_NANOS) {
            return 0;
        }
        int calls = attempts.count(windowNanos, nowNanos);
        int recent = attempts.count(RECENT_NANOS, nowNanos);
        // The calls of the window still count; the others are for those until the next question.
        return calls + 1 + (int) (recent * AHEAD_NANOS / RECENT_NANOS);
    }

    /**
     * Returns whether a loan is needed at once.
     *
     * @return true if a call found no room since the last question
     */
    boolean isStarved() {
        return starved;
    }

    void setStarved(boolean newStarved) {
        starved = newStarved;
    }

    /** Notes whether others have lent what was asked for. */
    void asked(boolean granted, long nowNanos) {
        denials = granted ? 0 : denials + 1;
        deniedNanos = nowNanos;
    }

    /** Returns whether others had too little to lend when they were asked last. */
    boolean isScarce(long nowNanos) {
        return denials > 0 && nowNanos - deniedNanos < DENIED_NANOS;
    }

    /** Returns whether others have too little to lend, so that waiting for them is pointless. */
    boolean isExhausted(long nowNanos) {
        return denials >= MAX_DENIALS && nowNanos - deniedNanos < DENIED_NANOS;
    }

    /** Returns whether there is nothing to remember. */
    boolean isIdle(long nowNanos) {
        lent.values().removeIf(each -> each.isOver(nowNanos));
        borrowed.values().removeIf(loan -> nowNanos - loan.untilNanos >= windowNanos);
        return demand(nowNanos) == 0 && lent.isEmpty() && borrowed.isEmpty();
    }

    /** Returns what this instance has borrowed and may use now. */
    int borrowedCalls(long nowNanos) {
        return limit(nowNanos) - ownPart;
    }

    /** Returns whether calls of the last window may have been admitted under a loan. */
    boolean hasBorrowed(long nowNanos) {
        return borrowed.values().stream()
                .anyMatch(loan -> nowNanos - loan.untilNanos < windowNanos);
    }

    /** Returns what this instance has lent, and may not use yet. */
    int lentCalls(long nowNanos) {
        int sum = 0;
        for (Lent each : lent.values()) {
            sum += each.isOver(nowNanos) ? 0 : each.calls;
        }
        return sum;
    }

    /** Returns whether others ask this instance as coordinator. */
    boolean isCoordinated(long nowNanos) {
        return claimedCalls(QuotaAsk.Kind.MEMBER, nowNanos) > 0
                || claimedCalls(QuotaAsk.Kind.REGION, nowNanos) > 0;
    }

    /** Returns what others have asked this instance for within their leases. */
    int claimedCalls(QuotaAsk.Kind kind, long nowNanos) {
        int sum = 0;
        for (Lent each : lent.values()) {
            sum += each.kind == kind && each.isInForce(nowNanos) ? each.wanted : 0;
        }
        return sum;
    }

    /** Returns what was borrowed from an instance, also if its lease has just ended. */
    int borrowedFrom(String lender) {
        Loan loan = borrowed.get(lender);
        return loan == null ? 0 : loan.calls;
    }

    /** Returns the instances from which calls were borrowed. */
    List<String> lenders() {
        return List.copyOf(borrowed.keySet());
    }

    /**
     * Gives back what is not needed of the calls borrowed from an instance.
     *
     * @param wanted the calls that are needed of them
     * @return the calls that are kept; more than wanted if they were used in the last window
     */
    int giveBack(String lender, int wanted, long nowNanos) {
        Loan loan = borrowed.get(lender);
        if (loan == null) {
            return 0;
        }
        int used = admittedCalls(nowNanos) + lentCalls(nowNanos);
        int others = limit(nowNanos) - (loan.isInForce(nowNanos) ? loan.calls : 0);
        int kept = Math.min(loan.held, Math.max(Math.min(wanted, loan.calls), used - others));
        loan.held = kept;
        loan.calls = Math.min(loan.calls, kept);
        return kept;
    }

    /**
     * Replaces what was borrowed from an instance.
     *
     * @param calls what it has lent
     * @param wanted what it was asked for
     * @param untilNanos end of the lease
     */
    void borrowed(String lender, int calls, int wanted, long untilNanos, long nowNanos) {
        Loan before = borrowed.get(lender);
        int held = before == null ? calls : Math.max(before.held, calls);
        if (held > 0) {
            borrowed.put(lender, new Loan(calls, held, untilNanos));
        } else {
            borrowed.remove(lender);
        }
        boolean more = calls > (before == null ? 0 : before.calls);
        if (calls < wanted && !more) {
            Shortage last = shortages.get(lender);
            shortages.put(lender, new Shortage(last == null ? 1 : last.asks + 1, nowNanos));
        } else {
            shortages.remove(lender);
        }
    }

    /**
     * Returns whether an instance has recently lent less than it was asked for.
     *
     * @param asks number of questions in a row, at least
     */
    boolean isShort(String lender, int asks, long nowNanos) {
        Shortage last = shortages.get(lender);
        return last != null && last.asks >= asks && nowNanos - last.atNanos < SHORT_NANOS;
    }

    /** Ends all leases, because it is not known how much time has passed. */
    void endLeases(long nowNanos) {
        borrowed.values().forEach(loan -> loan.untilNanos = nowNanos - 1);
    }

    /**
     * Lends to an instance, or renews its loan.
     *
     * @return the calls of a window that it may use within the lease
     */
    int lend(
            Borrower borrower,
            QuotaAsk.Want want,
            QuotaAsk.Kind kind,
            long leaseNanos,
            long nowNanos) {
        Lent before = lent.remove(borrower);
        int kept =
                before == null || before.isOver(nowNanos) ? 0 : Math.min(before.calls, want.kept());
        int wanted = Math.max(0, want.wanted());
        int others = lentCalls(nowNanos);
        int used = admittedCalls(nowNanos);
        int lendable = ownPart;
        int share;
        if (kind == QuotaAsk.Kind.OWN_PART) {
            int needed = Math.max(used, Math.min(demand(nowNanos), ownPart));
            share = Math.max(kept, ownPart - needed - others);
        } else {
            lendable = limit(nowNanos + leaseNanos);
            int claimed = wanted + demand(nowNanos);
            claimed += claimedCalls(QuotaAsk.Kind.MEMBER, nowNanos);
            claimed += claimedCalls(QuotaAsk.Kind.REGION, nowNanos);
            // At least one call, if there is one: small quotas have fewer calls than borrowers.
            share =
                    claimed <= lendable
                            ? wanted
                            : Math.max(1, (int) ((long) wanted * lendable / claimed));
        }
        int room = lendable - used - others;
        int granted = Math.max(0, Math.min(Math.min(wanted, share), room));
        if (wanted > 0 || kept > 0) {
            lent.put(
                    borrower,
                    new Lent(
                            Math.max(kept, granted),
                            wanted,
                            kind,
                            nowNanos + leaseNanos,
                            nowNanos + leaseNanos + windowNanos));
        }
        return granted;
    }

    /** Returns the own part and what is borrowed at least until a time. */
    private int limit(long untilNanos) {
        int sum = ownPart;
        for (Loan loan : borrowed.values()) {
            sum += loan.isInForce(untilNanos) ? loan.calls : 0;
        }
        return sum;
    }

    private int admittedCalls(long nowNanos) {
        return admitted.count(windowNanos, nowNanos);
    }

    /**
     * A process that borrows.
     *
     * @param name name of the instance
     * @param incarnation distinguishes its processes
     */
    record Borrower(String name, long incarnation) {}

    /** Questions in a row to one instance that had too little to lend. */
    private record Shortage(int asks, long atNanos) {}

    /** Calls that were borrowed from one instance. */
    private static final class Loan {
        private int calls;

        /** Calls that the lender does not use; more than {@link #calls} after it lent less. */
        private int held;

        private long untilNanos;

        private Loan(int calls, int held, long untilNanos) {
            this.calls = calls;
            this.held = held;
            this.untilNanos = untilNanos;
        }

        private boolean isInForce(long nowNanos) {
            return untilNanos - nowNanos >= 0;
        }
    }

    /**
     * Calls that were lent to one process.
     *
     * @param calls the most that it may have admitted in a window
     * @param wanted what it has asked for
     * @param leaseEndNanos until when it may use them
     * @param overNanos when this instance may use them again
     */
    private record Lent(
            int calls, int wanted, QuotaAsk.Kind kind, long leaseEndNanos, long overNanos) {
        private boolean isInForce(long nowNanos) {
            return leaseEndNanos - nowNanos >= 0;
        }

        private boolean isOver(long nowNanos) {
            return overNanos - nowNanos <= 0;
        }
    }
}
