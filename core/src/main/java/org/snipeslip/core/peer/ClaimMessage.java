package org.snipeslip.core.peer;

import java.util.List;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.instance.RecordableAnswer;

/** Messages by which instances ensure that a call with an idempotency key runs at most once. */
public sealed interface ClaimMessage extends PeerMessage {
    /**
     * Asks the owner of a partition for permission to send a call with an idempotency key once.
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
     * @param incarnation incarnation of the asking instance; a restarted instance ignores answers
     *     to its earlier incarnation
     * @param verdict the decision of the owner
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
     * @param state how the claim ended
     * @param answer the answer of the backend server, if there was one
     */
    record ClaimOutcome(
            long claim,
            long incarnation,
            String group,
            int partition,
            String keyDigest,
            ClaimState state,
            RecordableAnswer answer)
            implements ClaimMessage {}

    /**
     * Transfers the records of a region-bound partition to its next owner. For a partition with a
     * log it carries no records and only reports to the next owner that the log was handed over.
     *
     * @param group home-region group
     * @param partition number of the partition
     * @param epoch epoch of the previous owner, which sends the message
     * @param part index of this message, from 0
     * @param parts number of messages of the whole handover; the receiver needs every one
     * @param records the records in this message
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
     * The claim record of one key, as sent to another instance.
     *
     * @param keyDigest digest of the key
     * @param fingerprint digest of the request
     * @param grantee instance that was granted the claim
     * @param incarnation incarnation of the grantee
     * @param claim number of the grantee's claim
     * @param state GRANTED while the claim is open, otherwise how it ended
     * @param ageMillis time since the last change of the record
     * @param answer the answer of the backend server, if there was one
     */
    record ClaimRecordValue(
            String keyDigest,
            String fingerprint,
            InstanceId grantee,
            long incarnation,
            long claim,
            ClaimState state,
            long ageMillis,
            RecordableAnswer answer) {}

    /** Decision of the owner on a claim. */
    enum Verdict {
        /** The asking instance may send the call once. */
        GRANTED,
        /** The call has run; the recorded answer is attached. */
        RECORDED,
        /** An earlier submission of the call is still running. */
        IN_PROGRESS,
        /** An earlier submission may have run. */
        OUTCOME_UNKNOWN,
        /** The key was used for a different request. */
        KEY_REUSED,
        /** The owner cannot record the claim at present; no earlier submission has run. */
        UNAVAILABLE_NOT_RUN,
        /** The owner cannot determine at present whether an earlier submission has run. */
        UNAVAILABLE_UNKNOWN,
        /** The receiver does not own the partition. */
        NOT_OWNER
    }

    /** State of a granted claim: still open, or how it ended. */
    enum ClaimState {
        /** The claim has not ended. */
        GRANTED,
        /** The backend server answered. */
        ANSWERED,
        /** The call certainly did not start to run. */
        NOT_RUN,
        /** The call may have run. */
        UNKNOWN
    }
}
