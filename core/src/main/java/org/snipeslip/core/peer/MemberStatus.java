package org.snipeslip.core.peer;

/**
 * Status of an instance in the membership. Among updates of the same incarnation, the status that
 * is declared later overrides the earlier one.
 */
public enum MemberStatus {
    /** The instance answers its peers. */
    ALIVE,
    /** The instance finishes its open calls and is not assigned ownership. */
    LEAVING,
    /** The instance did not answer a ping; it can still refute the suspicion. */
    SUSPECT,
    /** The instance did not refute a suspicion in time. */
    DEAD
}
