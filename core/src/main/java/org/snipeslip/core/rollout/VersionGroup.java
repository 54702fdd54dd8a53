package org.snipeslip.core.rollout;

/** The versions to whose servers a call may go during a rollout. */
public enum VersionGroup {
    /** All versions but the new one. */
    OLD,
    /** The new version. */
    NEW
}
