package org.snipeslip.server.config;

import org.snipeslip.core.error.ConfigFault;
import org.snipeslip.core.store.StoreFailure;

/** Why the published configuration cannot be read or written. */
public sealed interface StoreProblem {
    /**
     * The object API did not carry out a call, also not after several tries.
     *
     * @param key the key of the call
     * @param reason the last failure
     */
    record Unavailable(String key, StoreFailure reason) implements StoreProblem {}

    /**
     * An object of the published configuration cannot be decoded.
     *
     * @param fault the fault
     */
    record Damaged(ConfigFault fault) implements StoreProblem {}

    /**
     * The head names a part that does not exist.
     *
     * @param digest digest of the part
     */
    record MissingPart(String digest) implements StoreProblem {}

    /**
     * The object API gave an answer that does not belong to the call.
     *
     * @param key the key of the call
     * @param answer type of the answer
     */
    record UnexpectedAnswer(String key, String answer) implements StoreProblem {}
}
