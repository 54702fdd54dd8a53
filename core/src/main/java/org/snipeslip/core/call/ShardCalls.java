package org.snipeslip.core.call;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.instance.Outbox;

/** The open calls of one service, with their removal and refusal. Guarded by the shard's lock. */
final class ShardCalls {
    private final Map<RequestId, CallState> calls = new HashMap<>();
    private final OpenCalls openCalls;
    private final Detour detour;
    private final DecisionRecorder decisions;

    ShardCalls(OpenCalls openCalls, Detour detour, DecisionRecorder decisions) {
        this.openCalls = openCalls;
        this.detour = detour;
        this.decisions = decisions;
    }

    void add(CallState call) {
        calls.put(call.request, call);
    }

    /** Returns the call, or null if it is not open. */
    CallState get(RequestId request) {
        return calls.get(request);
    }

    boolean isEmpty() {
        return calls.isEmpty();
    }

    List<CallState> all() {
        return List.copyOf(calls.values());
    }

    void end(CallState call) {
        call.ended = true;
        calls.remove(call.request);
        openCalls.remove(call.request);
    }

    /**
     * Passes a call to another instance if it has found no server that is reached from here. A call
     * whose claim is granted stays: the other instance would be refused its own claim on the key.
     *
     * @return whether the call has left this shard
     */
    boolean passOn(CallState call, long nowNanos, Outbox outbox) {
        boolean unreached =
                call.lastFailure != null
                        && CallCompletion.reasonOf(call.lastFailure)
                                == RefusalReason.BACKEND_SERVER_UNREACHABLE;
        if (!unreached || call.claimGranted || !detour.take(call, false, nowNanos, outbox)) {
            return false;
        }
        calls.remove(call.request);
        return true;
    }

    void refuse(CallState call, RefusalReason reason, long retryAfterMillis, Outbox outbox) {
        refuse(call, CallCompletion.refusal(call, reason, retryAfterMillis), outbox);
    }

    void refuse(CallState call, Refusal refusal, Outbox outbox) {
        end(call);
        CallCompletion.refuse(call, refusal, outbox);
        decisions.recordRefused(call, refusal, outbox);
    }
}
