package org.snipeslip.core.once;

import io.vavr.control.Option;
import org.snipeslip.core.store.StoreAnswer;
import org.snipeslip.core.store.StoreFailure;
import org.snipeslip.core.store.StoreRequest;

/**
 * The ownership object of one partition: reads within the instance's read budget, and conditional
 * writes that are repeated unchanged until they are settled.
 */
final class OwnershipObject {
    private final PartitionId id;
    private final Scope scope;
    private final Partition partition;

    private Option<Ownership> current = Option.none();
    private long version;
    private long readCall;
    private long readStartNanos;
    private Flight flight;
    private int failures;
    private long retryNanos;

    OwnershipObject(PartitionId id, Scope scope, Partition partition, long nowNanos) {
        this.id = id;
        this.scope = scope;
        this.partition = partition;
        this.retryNanos = nowNanos;
    }

    boolean isBusy() {
        return readCall != 0 || flight != null;
    }

    boolean mayTry(long nowNanos) {
        return !isBusy() && nowNanos - retryNanos >= 0;
    }

    boolean isBackingOff(long nowNanos) {
        return nowNanos - retryNanos < 0;
    }

    /** The object as last read or written; none if it does not exist. */
    Option<Ownership> current() {
        return current;
    }

    long readStartNanos() {
        return readStartNanos;
    }

    /** Begins a read if the budget allows. */
    boolean read(long nowNanos) {
        if (!scope.takeRead(nowNanos)) {
            return false;
        }
        readStartNanos = nowNanos;
        readCall = scope.call(partition, new StoreRequest.Read(id.ownershipKey()));
        return true;
    }

    /** Begins a write on the condition that the object is still as last read. */
    void write(Ownership target, long nowNanos) {
        flight = new Flight(target, version, nowNanos);
        sendWrite();
    }

    void run(long nowNanos) {
        if (flight == null || flight.call != 0 || isBackingOff(nowNanos)) {
            return;
        }
        if (!flight.readNext) {
            sendWrite();
        } else if (scope.takeRead(nowNanos)) {
            flight.call = scope.call(partition, new StoreRequest.Read(id.ownershipKey()));
        }
    }

    void wakeAt(Wake wake, boolean wantsCall, long nowNanos) {
        if (flight != null ? flight.call == 0 : wantsCall && readCall == 0) {
            wake.at(isBackingOff(nowNanos) ? retryNanos : scope.nextReadNanos());
        }
    }

    Step answered(long call, StoreAnswer answer, long nowNanos) {
        if (call == readCall) {
            readCall = 0;
            return note(answer) ? succeed(Step.READ) : backOff(nowNanos);
        }
        if (flight == null || call != flight.call) {
            return Step.NONE;
        }
        flight.call = 0;
        return flight.readNext ? wasRead(answer, nowNanos) : wasWritten(answer, nowNanos);
    }

    private Step wasWritten(StoreAnswer answer, long nowNanos) {
        if (answer instanceof StoreAnswer.Written written) {
            current = Option.some(flight.target);
            version = written.version();
            flight = null;
            return succeed(Step.WRITTEN);
        }
        boolean noEffect =
                answer instanceof StoreAnswer.Failed failed
                        && failed.reason() != StoreFailure.NO_ANSWER;
        if (noEffect) {
            return backOff(nowNanos);
        }
        flight.readNext = true;
        return Step.NONE;
    }

    private Step wasRead(StoreAnswer answer, long nowNanos) {
        if (!note(answer)) {
            return backOff(nowNanos);
        }
        if (current.contains(flight.target)) {
            flight = null;
            return succeed(Step.WRITTEN);
        }
        if (version == flight.expectedVersion) {
            flight.readNext = false;
            backOff(nowNanos);
            return Step.NONE;
        }
        flight = null;
        return succeed(Step.CHANGED);
    }

    /** Keeps what a read found; returns false if the read failed. */
    private boolean note(StoreAnswer answer) {
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
        String text = flight.target.encode();
        StoreRequest request =
                flight.expectedVersion == 0
                        ? new StoreRequest.Create(key, text)
                        : new StoreRequest.Update(key, text, flight.expectedVersion);
        flight.call = scope.call(partition, request);
    }

    private Step succeed(Step step) {
        failures = 0;
        return step;
    }

    private Step backOff(long nowNanos) {
        retryNanos = nowNanos + scope.backoffNanos(failures);
        failures++;
        return Step.FAILED;
    }

    /** What an answer meant. */
    enum Step {
        /** Nothing is decided yet. */
        NONE,
        /** The object was read; see {@link #current()}. */
        READ,
        /** The own write took effect. */
        WRITTEN,
        /** Another instance wrote the object; the own write is lost. */
        CHANGED,
        /** The object API does not answer as it should. */
        FAILED
    }

    private static final class Flight {
        final Ownership target;
        final long expectedVersion;
        final long startNanos;
        long call;
        boolean readNext;

        Flight(Ownership target, long expectedVersion, long startNanos) {
            this.target = target;
            this.expectedVersion = expectedVersion;
            this.startNanos = startNanos;
        }
    }
}
