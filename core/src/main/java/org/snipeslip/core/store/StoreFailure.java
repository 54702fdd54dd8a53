package org.snipeslip.core.store;

/** Why an object API call failed. */
public enum StoreFailure {
    /** The call did not reach the object API, so a write had no effect. */
    NOT_SENT,
    /** No answer came; a write may have taken effect. */
    NO_ANSWER,
    /** The object API refused the call before carrying it out. */
    REFUSED,
    /** The value exceeds 1 MiB. */
    TOO_LARGE
}
