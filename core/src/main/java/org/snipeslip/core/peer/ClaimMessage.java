package org.snipeslip.core.peer;

import java.util.List;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.instance.RecordableAnswer;

/** Messages of at-most-once claims. */
public sealed interface ClaimMessage extends PeerMessage {
    /**
     * Asks the owner of a partition for the right to send a keyed call once.
     *
     * @param claim number chosen by the sender, unique for its incarnation
     * @param incarnation incarnation of the sender
     * @param group home-region group of the partition
     * @param partition number of the partition
     * @param keyDigest digest of organisation, route and idempotency key
     * @param fingerprint digest of the request
     */
    record ClaimAsk(
            long claim,
            long incarnation,
            String group,
            int partition,
            String keyDigest,
            String fingerprint)
            implements ClaimMessage {}

    /**
     * Answers a {@link ClaimAsk}.
     *
     * @param claim number of the claim
     * @param incarnation incarnation of the asker, so that a restarted one ignores it
     * @param verdict the decision
     * @param answer the recorded answer if the verdict is {@link Verdict#RECORDED}
     */
    record ClaimReply(long claim, long incarnation, Verdict verdict, RecordableAnswer answer)
            implements ClaimMessage {}

    /**
     * Reports the end of a granted claim to the owner.
     *
     * @param claim number of the claim
     * @param incarnation incarnation of the sender
     * @param group home-region group of the partition
     * @param partition number of the partition
     * @param keyDigest digest of the key
     * @param end how it ended
     * @param answer the answer if it ended with one
     */
    record ClaimOutcome(
            long claim,
            long incarnation,
            String group,
            int partition,
            String keyDigest,
            End end,
            RecordableAnswer answer)
            implements ClaimMessage {}

    /**
     * Hands the records of a region-bound partition to its next owner. For a partition with a log
     * it carries no records and tells the next owner that the log was handed over.
     *
     * @param group home-region group
     * @param partition number of the partition
     * @param epoch epoch of the handing owner
     * @param part number of this message, from 0
     * @param parts messages of the whole handover; the receiver needs every one
     * @param records the records of this message
     */
    record OwnershipHandover(
            String group,
            int partition,
            long epoch,
            int part,
            int parts,
            List<ClaimRecordValue> records)
            implements ClaimMessage {
        /** Copies the list. */
        public OwnershipHandover {
            records = List.copyOf(records);
        }
    }

    /**
     * One record of a key, as sent to another instance.
     *
     * @param keyDigest digest of the key
     * @param fingerprint digest of the request
     * @param grantee instance that was granted the claim
     * @param incarnation incarnation of the grantee
     * @param claim number of the grantee's claim
     * @param state GRANTED or an end
     * @param ageMillis time since its last change
     * @param answer the answer if it ended with one
     */
    record ClaimRecordValue(
            String keyDigest,
            String fingerprint,
            InstanceId grantee,
            long incarnation,
            long claim,
            End state,
            long ageMillis,
            RecordableAnswer answer) {}

    /** Decision on a claim. */
    enum Verdict {
        /** The asker may send the call once. */
        GRANTED,
        /** The call ran; the answer is attached. */
        RECORDED,
        /** The call is running. */
        IN_PROGRESS,
        /** An earlier submission may have run. */
        OUTCOME_UNKNOWN,
        /** The key was used for another request. */
        KEY_REUSED,
        /** The owner cannot record the claim now, and no earlier submission ran. */
        UNAVAILABLE_NOT_RUN,
        /** The owner cannot tell now whether an earlier submission ran. */
        UNAVAILABLE_UNKNOWN,
        /** The receiver does not own the partition. */
        NOT_OWNER
    }

    /** How a granted claim ended. */
    enum End {
        /** Not ended. */
        GRANTED,
        /** The backend server answered. */
        ANSWERED,
        /** The work provably did not start. */
        NOT_RUN,
        /** The work may have run. */
        UNKNOWN
    }
}
