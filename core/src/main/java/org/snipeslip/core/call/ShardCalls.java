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
    private final DecisionRecorder decisions;

    ShardCalls(OpenCalls openCalls, DecisionRecorder decisions) {
        this.openCalls = openCalls;
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

    void refuse(CallState call, RefusalReason reason, long retryAfterMillis, Outbox outbox) {
        refuse(call, CallCompletion.refusal(call, reason, retryAfterMillis), outbox);
    }

    void refuse(CallState call, Refusal refusal, Outbox outbox) {
        end(call);
        CallCompletion.refuse(call, refusal, outbox);
        decisions.recordRefused(call, refusal, outbox);
    }
}
