package org.snipeslip.core.rollout;

/** How far an instance lets calls go to the new version. Later steps take precedence. */
public enum RolloutStep {
    /** A small share goes to a few of the new servers, which are then loaded like the old ones. */
    CANARY,
    /** What is left of the allowed exposure is spent at once, to see the version under load. */
    LOAD,
    /** The version was found good: all calls go to it, and old servers only take the overflow. */
    SHIFT,
    /** The version was found bad, or not good in time. */
    ROLLED_BACK,
    /** The rollout is completed; old servers end. */
    COMPLETED;

    /**
     * Returns whether no further step follows.
     *
     * @return true if the rollout is decided
     */
    public boolean isFinal() {
        return this == ROLLED_BACK || this == COMPLETED;
    }
}
