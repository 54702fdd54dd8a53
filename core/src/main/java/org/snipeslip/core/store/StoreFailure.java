package org.snipeslip.core.store;

/** Reasons why an object API call failed. */
public enum StoreFailure {
    /** The call did not reach the object API, so a write had no effect. */
    NOT_SENT,
    /** No answer was received; a write may have taken effect. */
    NO_ANSWER,
    /** The object API refused the call without executing it. */
    REFUSED,
    /** The value is larger than 1 MiB. */
    TOO_LARGE
}
