package org.snipeslip.core.quota;

/** What the list of instances shows about this one. */
public enum QuotaStanding {
    /** The list is not complete yet. */
    UNKNOWN,
    /** An earlier process of this instance was listed, so others count it. */
    RESTARTED,
    /** Others may not count this instance yet. */
    NEW
}
