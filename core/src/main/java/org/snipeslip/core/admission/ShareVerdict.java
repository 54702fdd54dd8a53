package org.snipeslip.core.admission;

/** Whether a call may use the room of its service while there is too little. */
public sealed interface ShareVerdict {
    /**
     * The call competes for a server.
     *
     * @param preference how it competes
     */
    record Admit(Preference preference) implements ShareVerdict {}

    /**
     * The call is refused at once.
     *
     * @param overShare whether its organisation sends more than others of the same rank; false if
     *     calls of a higher rank need the room
     * @param admittedPart the part of such calls that is admitted, from 0 to 1
     */
    record Refuse(boolean overShare, double admittedPart) implements ShareVerdict {}

    /** How a call competes for servers without a free slot. */
    enum Preference {
        /** By the rank of the call. */
        BY_RANK,
        /** Its organisation sends more than its share. */
        OVER_SHARE,
        /** Calls like it were hardly served in the last seconds. */
        STARVED
    }
}
