package org.snipeslip.core.idempotency;

import org.snipeslip.core.call.Refusal;
import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.instance.RecordableAnswer;

/** The decision on a {@link ClaimRequest}. */
public sealed interface ClaimDecision {
    /**
     * Returns the call that the claim was made for.
     *
     * @return request ID of the call
     */
    RequestId request();

    /**
     * The call may be sent once. Its end must be reported with a {@link ClaimEnd}.
     *
     * @param request the call
     */
    record Granted(RequestId request) implements ClaimDecision {}

    /**
     * The call was executed before; its recorded answer is returned again.
     *
     * @param request the call
     * @param answer the recorded answer
     */
    record Replay(RequestId request, RecordableAnswer answer) implements ClaimDecision {}

    /**
     * The call must not be sent.
     *
     * @param request the call
     * @param refusal reason and outcome, as returned to the caller
     */
    record Refused(RequestId request, Refusal refusal) implements ClaimDecision {}
}
