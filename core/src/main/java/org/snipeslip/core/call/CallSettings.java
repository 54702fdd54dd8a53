package org.snipeslip.core.call;

import org.snipeslip.core.measure.MeasureSettings;
import org.snipeslip.core.selection.PolicyName;

/**
 * Settings of calls.
 *
 * @param maxTries tries of one call, the first included
 * @param maxDepth calls deeper than this are refused, so that loops end
 * @param queueLimit calls that may wait for one service
 * @param instances instances that share the connections of each backend server
 * @param policy how a backend server is chosen
 * @param retryPercent retries and hedges per hundred calls of a service
 * @param hedging whether slow idempotent calls get a second try beside the first
 * @param queueTargetMillis longest wait of an interactive call in a queue that does not empty
 * @param queueIntervalMillis time after which a queue counts as one that does not empty
 * @param measure budget of probes
 * @param retryBurst further tries of a service that all instances together may save up; 0 for the
 *     fixed burst of each instance, full at the start
 * @param relaysFromOutside whether an instance outside the home regions of a call passes it on to a
 *     backend server inside them; otherwise it refuses the call
 */
public record CallSettings(
        int maxTries,
        int maxDepth,
        int queueLimit,
        int instances,
        PolicyName policy,
        int retryPercent,
        boolean hedging,
        long queueTargetMillis,
        long queueIntervalMillis,
        MeasureSettings measure,
        int retryBurst,
        boolean relaysFromOutside) {
    /** Defaults. */
    public static final CallSettings DEFAULT =
            new CallSettings(
                    3,
                    8,
                    1_024,
                    15,
                    PolicyName.ADAPTIVE,
                    10,
                    true,
                    5,
                    10,
                    MeasureSettings.DEFAULT,
                    0,
                    false);

    /**
     * Returns these settings with another number of instances.
     *
     * @param newInstances instances that share the backend servers
     * @return the changed settings
     */
    public CallSettings withInstances(int newInstances) {
        return new CallSettings(
                maxTries,
                maxDepth,
                queueLimit,
                newInstances,
                policy,
                retryPercent,
                hedging,
                queueTargetMillis,
                queueIntervalMillis,
                measure,
                retryBurst,
                relaysFromOutside);
    }

    /**
     * Returns these settings with another bound on waiting calls.
     *
     * @param newQueueLimit calls that may wait for one service
     * @return the changed settings
     */
    public CallSettings withQueueLimit(int newQueueLimit) {
        return new CallSettings(
                maxTries,
                maxDepth,
                newQueueLimit,
                instances,
                policy,
                retryPercent,
                hedging,
                queueTargetMillis,
                queueIntervalMillis,
                measure,
                retryBurst,
                relaysFromOutside);
    }

    /**
     * Returns these settings with another selection policy.
     *
     * @param newPolicy the policy
     * @return the changed settings
     */
    public CallSettings withPolicy(PolicyName newPolicy) {
        return new CallSettings(
                maxTries,
                maxDepth,
                queueLimit,
                instances,
                newPolicy,
                retryPercent,
                hedging,
                queueTargetMillis,
                queueIntervalMillis,
                measure,
                retryBurst,
                relaysFromOutside);
    }

    /**
     * Returns these settings with another budget of probes.
     *
     * @param newMeasure the budget
     * @return the changed settings
     */
    public CallSettings withMeasure(MeasureSettings newMeasure) {
        return new CallSettings(
                maxTries,
                maxDepth,
                queueLimit,
                instances,
                policy,
                retryPercent,
                hedging,
                queueTargetMillis,
                queueIntervalMillis,
                newMeasure,
                retryBurst,
                relaysFromOutside);
    }
}
