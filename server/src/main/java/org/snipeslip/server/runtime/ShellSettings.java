package org.snipeslip.server.runtime;

import org.snipeslip.server.http.CallLimits;
import org.snipeslip.server.log.DecisionLogSettings;

/**
 * Settings of the shells around the state machine.
 *
 * @param limits bounds on requests
 * @param configuredInstances number of instances that share the connection limits
 * @param decisionLog settings of the decision log
 */
public record ShellSettings(
        CallLimits limits, int configuredInstances, DecisionLogSettings decisionLog) {
    /** Defaults, for a fleet of 16 instances. */
    public static final ShellSettings DEFAULT =
            new ShellSettings(CallLimits.DEFAULT, 16, DecisionLogSettings.DEFAULT);
}
