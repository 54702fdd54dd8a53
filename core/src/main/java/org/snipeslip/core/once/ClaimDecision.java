package org.snipeslip.core.once;

import org.snipeslip.core.call.Refusal;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.instance.RecordableAnswer;

/** Decision on a {@link ClaimRequest}. */
public sealed interface ClaimDecision {
    /**
     * Returns the call that the decision is about.
     *
     * @return the call
     */
    RequestId request();

    /**
     * The call may be sent, once. {@link ClaimEnd} must follow.
     *
     * @param request the call
     */
    record Granted(RequestId request) implements ClaimDecision {}

    /**
     * The work ran before; its answer is given again.
     *
     * @param request the call
     * @param answer the recorded answer
     */
    record Replay(RequestId request, RecordableAnswer answer) implements ClaimDecision {}

    /**
     * The call must not be sent.
     *
     * @param request the call
     * @param refusal the typed answer
     */
    record Refused(RequestId request, Refusal refusal) implements ClaimDecision {}
}
