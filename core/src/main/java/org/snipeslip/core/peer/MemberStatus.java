package org.snipeslip.core.peer;

/** Status of an instance in the membership; at one incarnation a later constant overrides. */
public enum MemberStatus {
    /** Answers its peers. */
    ALIVE,
    /** Finishes its calls and takes no ownership. */
    LEAVING,
    /** Did not answer; may still refute. */
    SUSPECT,
    /** Did not refute in time. */
    DEAD
}
