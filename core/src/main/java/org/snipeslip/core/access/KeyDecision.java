package org.snipeslip.core.access;

import org.snipeslip.core.config.Organisation;

/** Whether a call may run, as far as the organisation of its caller is concerned. */
public sealed interface KeyDecision {
    /**
     * The call may run.
     *
     * @param organisation the organisation of the caller, or null if there is none
     */
    record Allowed(Organisation organisation) implements KeyDecision {}

    /** No configuration in force since a moment ago knows the key, or the call has none. */
    record UnknownKey() implements KeyDecision {}

    /** A newer configuration, which this instance does not know yet, may decide otherwise. */
    record NotFresh() implements KeyDecision {}
}
