package org.snipeslip.core.instance;

/**
 * The phases of a planned stop: the load balancer of the platform gets time to notice that the
 * instance is no longer ready, then open calls are finished. A time limit applies to both phases
 * together. Guarded by its own lock, the last in the lock order.
 */
final class StopSequence {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final TimerId BALANCER_WAIT =
            new TimerId(EngineName.INSTANCE, "stop-balancer-wait");
    private static final TimerId TIME_LIMIT = new TimerId(EngineName.INSTANCE, "stop-time-limit");

    private final StopSettings settings;
    private Phase phase = Phase.RUNNING;

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
        return phase == Phase.FINISHING || phase == Phase.OVERDUE;
    }

    synchronized boolean isOverdue() {
        return phase == Phase.OVERDUE;
    }

    /** Ends the sequence if it is overdue or all calls are finished; returns true exactly once. */
    synchronized boolean finishIfDone(boolean idle) {
        if (phase == Phase.OVERDUE || phase == Phase.FINISHING && idle) {
            phase = Phase.DONE;
            return true;
        }
        return false;
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
