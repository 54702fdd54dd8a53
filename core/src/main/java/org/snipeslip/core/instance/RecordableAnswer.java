package org.snipeslip.core.instance;

/**
 * The part of a response that is kept for duplicates of a keyed call.
 *
 * @param status HTTP status code
 * @param contentType media type, or empty
 * @param body the whole body in base64, or empty if it exceeds 1 KiB
 * @param bodyKept whether the body is whole
 */
public record RecordableAnswer(int status, String contentType, String body, boolean bodyKept) {
    /** For calls whose answers are not kept. */
    public static final RecordableAnswer NONE = new RecordableAnswer(0, "", "", false);
}
