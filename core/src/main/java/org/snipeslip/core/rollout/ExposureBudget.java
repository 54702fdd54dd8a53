package org.snipeslip.core.rollout;

import java.util.random.RandomGenerator;

/**
 * The calls that this instance may send to a new version that is not known to be good. The allowed
 * exposure is a sum over all instances. Each instance earns the share of its own calls and starts
 * with a random part of one call, so that the sum has the right mean however few calls each of them
 * sees; its variance is at most a quarter of a call for each instance.
 */
final class ExposureBudget {
    /**
     * Part of the allowed share that is used before the version counts as good. The rest is for
     * calls that go to it between the last step and its judgement.
     */
    private static final double USED_SHARE = 0.65;

    /** Part of the allowed constant that is used; the rest covers the variance. */
    private static final double USED_SLACK = 0.3;

    private final double earnedPerCall;
    private double calls;

    ExposureBudget(RolloutSettings settings, int instances, RandomGenerator random) {
        earnedPerCall = USED_SHARE * settings.exposeShare();
        calls = random.nextDouble() + USED_SLACK * settings.exposeSlack() / instances;
    }

    /** Returns the part of all calls that is earned. */
    double earnedPerCall() {
        return earnedPerCall;
    }

    /** Counts a call to the service. */
    void earn() {
        calls += earnedPerCall;
    }

    /** Takes one call if there is one; returns whether there was. */
    boolean take() {
        if (calls < 1) {
            return false;
        }
        calls--;
        return true;
    }

    /** Gives a call back that did not go to the new version. */
    void giveBack() {
        calls++;
    }
}
