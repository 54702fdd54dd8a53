package org.snipeslip.core.once;

import org.snipeslip.core.call.Refusal;
import org.snipeslip.core.call.RefusalReason;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.instance.Event;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.membership.MemberView;

/** At-most-once claims. Every method takes the once lock, the second in the lock order. */
public final class OnceEngine {
    /**
     * Takes a claim; the decision may come later.
     *
     * @param claim the claim
     * @param nowNanos the time
     * @param outbox takes the actions and the decision
     */
    public synchronized void claim(ClaimRequest claim, long nowNanos, Outbox outbox) {
        Refusal refusal = Refusal.notRun(RefusalReason.ONCE_UNAVAILABLE);
        outbox.decide(new ClaimDecision.Refused(claim.request(), refusal));
    }

    /**
     * Takes the end of a granted call.
     *
     * @param end how it ended
     * @param nowNanos the time
     * @param outbox takes the actions
     */
    public synchronized void end(ClaimEnd end, long nowNanos, Outbox outbox) {}

    /**
     * Takes a peer message, timer or object API answer of this engine.
     *
     * @param event the event; others are ignored
     * @param nowNanos the time
     * @param outbox takes the actions and decisions
     */
    public synchronized void handle(Event event, long nowNanos, Outbox outbox) {}

    /**
     * Takes a new configuration.
     *
     * @param config the configuration in force
     * @param nowNanos the time
     * @param outbox takes the actions and decisions
     */
    public synchronized void configure(ConfigSet config, long nowNanos, Outbox outbox) {}

    /**
     * Takes a new view of the members.
     *
     * @param view the view
     * @param nowNanos the time
     * @param outbox takes the actions and decisions
     */
    public synchronized void membersChanged(MemberView view, long nowNanos, Outbox outbox) {}

    /**
     * Begins to hand partitions over before a planned stop.
     *
     * @param nowNanos the time
     * @param outbox takes the actions
     */
    public synchronized void startHandover(long nowNanos, Outbox outbox) {}

    /**
     * Tells whether every partition was handed over.
     *
     * @return true if this instance owns nothing any more
     */
    public synchronized boolean isHandedOver() {
        return true;
    }
}
