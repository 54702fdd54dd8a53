package org.snipeslip.core.call;

import org.snipeslip.core.probe.ProbeSettings;
import org.snipeslip.core.selection.PolicyName;

/**
 * Settings of the call engine.
 *
 * @param maxTries maximum tries of one call, including the first
 * @param maxDepth maximum depth of nested calls; deeper calls are refused, which ends loops
 * @param queueLimit maximum number of waiting calls per service
 * @param instances instances that share the connections of each backend server
 * @param policy algorithm that selects a backend server
 * @param retryPercent retries and hedges per hundred calls of a service
 * @param hedging whether slow idempotent calls get a second, concurrent try
 * @param queueTargetMillis maximum wait of an interactive call in a standing queue
 * @param queueIntervalMillis time without being empty after which a queue counts as standing
 * @param probeSettings settings of the load probes
 * @param retryBurst maximum number of unused retries and hedges of a service that all instances
 *     together may accumulate, starting from none; with 0 each instance has a fixed burst of its
 *     own, which is full at the start
 * @param relaysToHomeRegions whether an instance outside the home regions of a call forwards it to
 *     a backend server inside them; otherwise it refuses the call
 * @param repeatsByStatus whether callers repeat a call that must run at most once after a status
 *     that {@link Refusal#statesNotRun} names; a response of a backend server with such a status is
 *     then relayed only if the call is idempotent
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
        ProbeSettings probeSettings,
        int retryBurst,
        boolean relaysToHomeRegions,
        boolean repeatsByStatus) {
    /** Default settings. */
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
                    ProbeSettings.DEFAULT,
                    0,
                    false,
                    false);

    /**
     * Returns whether a response of a backend server, or of an instance that got the call, may be
     * relayed.
     *
     * @param idempotent whether the call may run more than once
     * @param status status code of the response, which does not prove that the call has not run
     * @return false if the status would state that the call has not run
     */
    boolean mayRelay(boolean idempotent, int status) {
        return idempotent || !repeatsByStatus || !Refusal.statesNotRun(status);
    }

    /**
     * Returns a copy with a different number of instances.
     *
     * @param newInstances instances that share the backend servers, this one included
     * @return the changed copy
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
                probeSettings,
                retryBurst,
                relaysToHomeRegions,
                repeatsByStatus);
    }

    /**
     * Returns a copy with a different queue limit.
     *
     * @param newQueueLimit maximum number of waiting calls per service
     * @return the changed copy
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
                probeSettings,
                retryBurst,
                relaysToHomeRegions,
                repeatsByStatus);
    }

    /**
     * Returns a copy with a different selection policy.
     *
     * @return the changed copy
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
                probeSettings,
                retryBurst,
                relaysToHomeRegions,
                repeatsByStatus);
    }

    /**
     * Returns a copy with a different probe budget.
     *
     * @return the changed copy
     */
    public CallSettings withProbeSettings(ProbeSettings newProbeSettings) {
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
                newProbeSettings,
                retryBurst,
                relaysToHomeRegions,
                repeatsByStatus);
    }

    /**
     * Returns a copy for callers that repeat calls by the status of the response.
     *
     * @return the changed copy
     */
    public CallSettings withRepeatsByStatus() {
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
                probeSettings,
                retryBurst,
                relaysToHomeRegions,
                true);
    }
}
