package org.snipeslip.server.runtime;

import org.snipeslip.server.http.CallLimits;
import org.snipeslip.server.log.DecisionLogSettings;
import org.snipeslip.server.settings.ProcessSettings;

/**
 * Settings of the connections and the decision log of an {@link EntryProcess}.
 *
 * @param limits limits on request sizes
 * @param configuredInstances number of instances among which the connection limit of each backend
 *     server is divided
 * @param decisionLog settings of the decision log
 */
public record CallHandlingSettings(
        CallLimits limits, int configuredInstances, DecisionLogSettings decisionLog) {
    /** Defaults, for a deployment of 16 instances. */
    public static final CallHandlingSettings DEFAULT =
            new CallHandlingSettings(CallLimits.DEFAULT, 16, DecisionLogSettings.DEFAULT);

    /**
     * Derives these settings from the settings of a process; values that those do not contain are
     * the defaults.
     *
     * @param settings settings of the process
     * @return the derived settings
     */
    public static CallHandlingSettings of(ProcessSettings settings) {
        CallLimits limits =
                new CallLimits(
                        settings.limits().headerBytes(),
                        CallLimits.DEFAULT.maxUriBytes(),
                        settings.limits().bodyBytes(),
                        CallLimits.DEFAULT.maxReplayableBodyBytes(),
                        CallLimits.DEFAULT.maxReplayableBodiesTotalBytes());
        DecisionLogSettings decisionLog =
                new DecisionLogSettings(
                        settings.log().loggedFraction(), DecisionLogSettings.DEFAULT.queueLines());
        return new CallHandlingSettings(limits, settings.instances(), decisionLog);
    }
}
