package org.snipeslip.core.idempotency;

import io.vavr.control.Option;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreFailure;
import org.snipeslip.core.store.StoreRequest;

/**
 * Reads and writes the ownership object of one partition. Reads stay within the instance's rate
 * limit. Writes are conditional and are repeated unchanged until their result is known.
 */
final class OwnershipObject {
    private final PartitionId id;
    private final IdempotencyContext context;
    private final Partition partition;

    private Option<Ownership> current = Option.none();
    private long version;
    private long readCall;
    private long readStartNanos;
    private PendingWrite pendingWrite;
    private int failures;
    private long retryNanos;

    OwnershipObject(
            PartitionId id, IdempotencyContext context, Partition partition, long nowNanos) {
        this.id = id;
        this.context = context;
        this.partition = partition;
        this.retryNanos = nowNanos;
    }

    boolean isBusy() {
        return readCall != 0 || pendingWrite != null;
    }

    boolean canCall(long nowNanos) {
        return !isBusy() && nowNanos - retryNanos >= 0;
    }

    boolean isBackingOff(long nowNanos) {
        return nowNanos - retryNanos < 0;
    }

    /** Returns the value last read or written; none if the object does not exist. */
    Option<Ownership> current() {
        return current;
    }

    long readStartNanos() {
        return readStartNanos;
    }

    /** Starts a read; returns false if the rate limit does not allow one now. */
    boolean read(long nowNanos) {
        if (!context.acquireRead(nowNanos)) {
            return false;
        }
        readStartNanos = nowNanos;
        readCall = context.callStore(partition, new StoreRequest.Read(id.ownershipKey()));
        return true;
    }

    /** Starts a write that takes effect only if the object has not changed since the last read. */
    void write(Ownership target, long nowNanos) {
        pendingWrite = new PendingWrite(target, version, nowNanos);
        sendWrite();
    }

    void run(long nowNanos) {
        if (pendingWrite == null || pendingWrite.call != 0 || isBackingOff(nowNanos)) {
            return;
        }
        if (!pendingWrite.needsVerification) {
            sendWrite();
        } else if (context.acquireRead(nowNanos)) {
            pendingWrite.call =
                    context.callStore(partition, new StoreRequest.Read(id.ownershipKey()));
        }
    }

    void scheduleRetry(PartitionTimer timer, boolean readWanted, long nowNanos) {
        if (pendingWrite != null ? pendingWrite.call == 0 : readWanted && readCall == 0) {
            timer.schedule(isBackingOff(nowNanos) ? retryNanos : context.nextReadNanos());
        }
    }

    Result answered(long call, StoreAnswer answer, long nowNanos) {
        if (call == readCall) {
            readCall = 0;
            return adoptRead(answer) ? succeed(Result.READ) : backOff(nowNanos);
        }
        if (pendingWrite == null || call != pendingWrite.call) {
            return Result.NONE;
        }
        pendingWrite.call = 0;
        return pendingWrite.needsVerification
                ? verificationAnswered(answer, nowNanos)
                : writeAnswered(answer, nowNanos);
    }

    private Result writeAnswered(StoreAnswer answer, long nowNanos) {
        if (answer instanceof StoreAnswer.Written written) {
            current = Option.some(pendingWrite.target);
            version = written.version();
            pendingWrite = null;
            return succeed(Result.WRITTEN);
        }
        boolean noEffect =
                answer instanceof StoreAnswer.Failed failed
                        && failed.reason() != StoreFailure.NO_ANSWER;
        if (noEffect) {
            return backOff(nowNanos);
        }
        pendingWrite.needsVerification = true;
        return Result.NONE;
    }

    private Result verificationAnswered(StoreAnswer answer, long nowNanos) {
        if (!adoptRead(answer)) {
            return backOff(nowNanos);
        }
        if (current.contains(pendingWrite.target)) {
            pendingWrite = null;
            return succeed(Result.WRITTEN);
        }
        if (version == pendingWrite.expectedVersion) {
            pendingWrite.needsVerification = false;
            backOff(nowNanos);
            return Result.NONE;
        }
        pendingWrite = null;
        return succeed(Result.CHANGED);
    }

    /** Stores the result of a read; returns false if the read failed. */
    private boolean adoptRead(StoreAnswer answer) {
        switch (answer) {
            case StoreAnswer.Absent absent -> {
                current = Option.none();
                version = 0;
                return true;
            }
            case StoreAnswer.Found found -> {
                Option<Ownership> decoded = Ownership.decode(found.object().value());
                if (decoded.isDefined()) {
                    current = decoded;
                    version = found.object().version();
                }
                return decoded.isDefined();
            }
            default -> {
                return false;
            }
        }
    }

    private void sendWrite() {
        String key = id.ownershipKey();
        String text = pendingWrite.target.encode();
        StoreRequest request =
                pendingWrite.expectedVersion == 0
                        ? new StoreRequest.Create(key, text)
                        : new StoreRequest.Update(key, text, pendingWrite.expectedVersion);
        pendingWrite.call = context.callStore(partition, request);
    }

    private Result succeed(Result result) {
        failures = 0;
        return result;
    }

    private Result backOff(long nowNanos) {
        retryNanos = nowNanos + context.backoffNanos(failures);
        failures++;
        return Result.FAILED;
    }

    /** Result of an object API answer. */
    enum Result {
        /** The read or write is not settled yet. */
        NONE,
        /** The object was read; see {@link #current()}. */
        READ,
        /** The write of this instance took effect. */
        WRITTEN,
        /** Another instance wrote the object, so the write of this instance failed. */
        CHANGED,
        /** The call failed or the object could not be read; it is repeated after a back-off. */
        FAILED
    }

    /** A write from its first attempt until its result is known. */
    private static final class PendingWrite {
        final Ownership target;
        final long expectedVersion;
        final long startNanos;
        long call;

        /** The result of the write is unknown; a read of the object has to determine it. */
        boolean needsVerification;

        PendingWrite(Ownership target, long expectedVersion, long startNanos) {
            this.target = target;
            this.expectedVersion = expectedVersion;
            this.startNanos = startNanos;
        }
    }
}
