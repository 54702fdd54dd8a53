package org.snipeslip.core.instance;

import java.util.function.IntSupplier;
import org.snipeslip.core.call.Refusal;
import org.snipeslip.core.call.RefusalReason;

/**
 * The phases of a planned stop: the load balancer of the platform gets time to notice that the
 * instance is no longer ready, then open calls are finished. A time limit applies to both phases
 * together.
 *
 * <p>Calls arrive on other threads than the timers of the stop. Each call is therefore counted as
 * arriving before the phase decides whether it is accepted, and until it is counted as open. The
 * sequence ends only when no call is arriving. Guarded by its own lock, the last in the lock order.
 */
final class StopSequence {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Short, because a caller refused during a stop can immediately retry at another instance. */
    private static final long RETRY_AFTER_MILLIS = 1;

    private static final TimerId BALANCER_WAIT =
            new TimerId(EngineName.INSTANCE, "stop-balancer-wait");
    private static final TimerId TIME_LIMIT = new TimerId(EngineName.INSTANCE, "stop-time-limit");

    private final StopSettings settings;
    private Phase phase = Phase.RUNNING;
    private int arrivingCalls;

    StopSequence(StopSettings settings) {
        this.settings = settings;
    }

    synchronized boolean isStopping() {
        return phase != Phase.RUNNING;
    }

    /** Starts the sequence; a second request ends it at once. */
    synchronized void request(Outbox outbox) {
        switch (phase) {
            case RUNNING -> {
                phase = Phase.WAITING_FOR_BALANCER;
                outbox.add(timer(BALANCER_WAIT, settings.balancerWaitMillis()));
                outbox.add(timer(TIME_LIMIT, settings.timeLimitMillis()));
            }
            case WAITING_FOR_BALANCER, FINISHING -> phase = Phase.OVERDUE;
            case OVERDUE, DONE -> {
                // The instance ends the sequence when it handles the event that made it overdue.
            }
            default -> throw new IllegalStateException("unexpected stop phase " + phase.name());
        }
    }

    synchronized void timerFired(TimerId timer) {
        if (timer.equals(BALANCER_WAIT) && phase == Phase.WAITING_FOR_BALANCER) {
            phase = Phase.FINISHING;
        } else if (timer.equals(TIME_LIMIT) && phase != Phase.DONE) {
            phase = Phase.OVERDUE;
        }
    }

    /** Returns whether the wait for the load balancer is over, so no new callers are expected. */
    synchronized boolean isFinishing() {
        return phase.compareTo(Phase.FINISHING) >= 0;
    }

    /**
     * Passes an arriving call on, or refuses it once the wait for the load balancer is over: the
     * remaining time is reserved for open calls.
     *
     * @param arrived the call
     * @param outbox receives the refusal
     * @param accept counts the call as open or answers it
     */
    void admit(Event.CallArrived arrived, Outbox outbox, Runnable accept) {
        if (!beginArrival()) {
            Refusal refusal = Refusal.notRun(RefusalReason.STOPPING, RETRY_AFTER_MILLIS);
            outbox.add(new Action.RefuseCaller(arrived.request(), refusal));
            return;
        }
        try {
            accept.run();
        } finally {
            endArrival();
        }
    }

    /**
     * Ends the sequence if it is overdue or all calls are finished, and no call is arriving.
     *
     * @param handedOver whether nothing besides calls is left to do
     * @param openCalls returns the number of open calls; takes no lock
     * @return true exactly once
     */
    synchronized boolean finishIfDone(boolean handedOver, IntSupplier openCalls) {
        if (arrivingCalls > 0) {
            return false;
        }
        if (phase == Phase.OVERDUE
                || phase == Phase.FINISHING && handedOver && openCalls.getAsInt() == 0) {
            phase = Phase.DONE;
            return true;
        }
        return false;
    }

    private synchronized boolean beginArrival() {
        if (isFinishing()) {
            return false;
        }
        arrivingCalls++;
        return true;
    }

    private synchronized void endArrival() {
        arrivingCalls--;
    }

    private static Action.SetTimer timer(TimerId timer, long delayMillis) {
        return new Action.SetTimer(timer, delayMillis * NANOS_PER_MILLI);
    }

    /** Phases, in their order. */
    private enum Phase {
        RUNNING,
        WAITING_FOR_BALANCER,
        FINISHING,
        OVERDUE,
        DONE
    }
}
