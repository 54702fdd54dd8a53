package org.snipeslip.core.once;

import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.peer.ClaimMessage;
import org.snipeslip.core.store.StoreAnswer;

/** One partition as this instance sees it, whether it owns it or not. */
interface Partition {
    /** Takes a claim; the reply may come later. */
    void ask(Ask ask, long nowNanos);

    /** Takes the end of a claim. */
    void outcome(Grantee from, ClaimMessage.ClaimOutcome outcome, long nowNanos);

    /** Takes a handover from the owner before. */
    void handover(InstanceId from, ClaimMessage.OwnershipHandover handover, long nowNanos);

    /** Takes the answer of an object API call of this partition. */
    void answered(long call, StoreAnswer answer, long nowNanos);

    /** Takes the timer of the partition. */
    void timerFired(long nowNanos);

    /** Does what is due, and sets the timer of the partition. */
    void run(long nowNanos);

    /**
     * Whether this instance owns the partition or may still become its owner by a pending write.
     */
    boolean isHeld();
}
