package org.snipeslip.core.suspect;

import org.snipeslip.core.id.RequestId;

/**
 * The answer to a {@link SuspectQuestion}.
 *
 * @param request the call that waits for it
 * @param verdict whether it may be sent
 */
public record SuspectAnswer(RequestId request, Verdict verdict) {}
