package org.snipeslip.core.rollout;

/** State of a rollout as the store knows it. */
public enum RolloutState {
    /** An instance has seen the order. */
    RUNNING,
    /** All calls go to the new version. */
    COMPLETED,
    /** No call goes to the new version. */
    ROLLED_BACK;

    /**
     * Returns whether the state is final.
     *
     * @return false while the rollout runs
     */
    public boolean isFinal() {
        return this != RUNNING;
    }
}
