package org.snipeslip.core.call;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.instance.Outbox;

/** The open calls of one service and the ways in which they end. Guarded by the shard's lock. */
final class ShardCalls {
    private final Map<RequestId, CallState> calls = new HashMap<>();
    private final OpenCalls openCalls;
    private final Decisions decisions;

    ShardCalls(OpenCalls openCalls, Decisions decisions) {
        this.openCalls = openCalls;
        this.decisions = decisions;
    }

    void add(CallState call) {
        calls.put(call.request, call);
    }

    /** Returns an open call, or null. */
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
        refuse(call, CallEnds.refusal(call, reason, retryAfterMillis), outbox);
    }

    void refuse(CallState call, Refusal refusal, Outbox outbox) {
        end(call);
        CallEnds.refuse(call, refusal, outbox);
        decisions.refused(call, refusal, outbox);
    }
}
