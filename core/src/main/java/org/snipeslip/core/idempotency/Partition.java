package org.snipeslip.core.idempotency;

import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.peer.ClaimMessage;
import org.snipeslip.core.store.StoreAnswer;

/** State of one partition at this instance, which may or may not be its owner. */
interface Partition {
    /** Handles a claim. The reply may be sent by a later event. */
    void claimReceived(ReceivedClaim claim, long nowNanos);

    /** Handles the reported end of a claim. */
    void claimEnded(ClaimId claimId, ClaimMessage.ClaimOutcome outcome, long nowNanos);

    /** Handles a handover message of the previous owner. */
    void handoverReceived(
            InstanceId sender, ClaimMessage.OwnershipHandover handover, long nowNanos);

    /** Handles the answer to an object API call of this partition. */
    void storeAnswered(long call, StoreAnswer answer, long nowNanos);

    /** Handles the timer of the partition. */
    void timerFired(long nowNanos);

    /** Starts all work that is due and sets the timer for the work that is due next. */
    void run(long nowNanos);

    /**
     * Returns whether this instance owns the partition or may become its owner by a pending write.
     */
    boolean isHeld();
}
