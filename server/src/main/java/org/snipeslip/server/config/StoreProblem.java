package org.snipeslip.server.config;

import org.snipeslip.core.error.ConfigFault;
import org.snipeslip.core.store.StoreFailure;

/** Reason why the published configuration cannot be read or written. */
public sealed interface StoreProblem {
    /**
     * A call to the object API failed, including any retries.
     *
     * @param key the requested key or prefix
     * @param reason the last failure
     */
    record Unavailable(String key, StoreFailure reason) implements StoreProblem {}

    /**
     * An object of the published configuration cannot be decoded.
     *
     * @param fault the fault found while decoding
     */
    record Damaged(ConfigFault fault) implements StoreProblem {}

    /**
     * The head refers to a part that does not exist.
     *
     * @param digest digest of the missing part
     */
    record MissingPart(String digest) implements StoreProblem {}

    /**
     * The object API returned an answer of a type that does not match the request.
     *
     * @param key the requested key or prefix
     * @param answer simple class name of the answer
     */
    record UnexpectedAnswer(String key, String answer) implements StoreProblem {}
}
