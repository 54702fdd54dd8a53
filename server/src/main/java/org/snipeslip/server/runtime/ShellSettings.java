package org.snipeslip.server.runtime;

import org.snipeslip.server.http.CallLimits;
import org.snipeslip.server.log.DecisionLogSettings;
import org.snipeslip.server.settings.ProcessSettings;

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

    /**
     * Takes the shells' part of the settings of a process.
     *
     * @param settings settings of the process
     * @return settings of the shells
     */
    public static ShellSettings of(ProcessSettings settings) {
        CallLimits limits =
                new CallLimits(
                        settings.limits().headerBytes(),
                        CallLimits.DEFAULT.maxUriBytes(),
                        settings.limits().bodyBytes(),
                        CallLimits.DEFAULT.keptBodyBytes(),
                        CallLimits.DEFAULT.keptBodiesTotalBytes());
        DecisionLogSettings log =
                new DecisionLogSettings(
                        settings.log().share(), DecisionLogSettings.DEFAULT.queueLines());
        return new ShellSettings(limits, settings.instances(), log);
    }
}
