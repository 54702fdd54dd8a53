package org.snipeslip.core.instance;

/**
 * The part of a response that is recorded for duplicates of a call with an idempotency key.
 *
 * @param status HTTP status code
 * @param contentType media type, or empty
 * @param body the complete body in base64, or empty if it exceeds 1 KiB
 * @param bodyKept whether {@code body} contains the complete body
 */
public record RecordableAnswer(int status, String contentType, String body, boolean bodyKept) {
    /** Value for calls whose responses are not recorded. */
    public static final RecordableAnswer NONE = new RecordableAnswer(0, "", "", false);
}
