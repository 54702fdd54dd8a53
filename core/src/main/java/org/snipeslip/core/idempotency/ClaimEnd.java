package org.snipeslip.core.idempotency;

import org.snipeslip.core.id.RequestId;
import org.snipeslip.core.instance.RecordableAnswer;
import org.snipeslip.core.peer.ClaimMessage;

/**
 * How a granted call ended.
 *
 * @param request the call
 * @param state how it ended
 * @param answer the answer to record, or {@link RecordableAnswer#NONE} if there is none
 */
public record ClaimEnd(RequestId request, ClaimMessage.ClaimState state, RecordableAnswer answer) {}
