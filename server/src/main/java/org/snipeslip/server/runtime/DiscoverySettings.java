package org.snipeslip.server.runtime;

import java.net.InetSocketAddress;
import org.snipeslip.core.call.CallSettings;
import org.snipeslip.core.discovery.FleetSettings;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.instance.StopSettings;
import org.snipeslip.server.http.CallLimits;
import org.snipeslip.server.http.HttpDialect;
import org.snipeslip.server.log.DecisionLogSettings;

/**
 * Settings of a process whose backend servers are discovered.
 *
 * @param callerAddress where callers connect
 * @param readinessAddress where the balancer in front asks for readiness; also serves metrics
 * @param readinessPath path of that question
 * @param region region of the instance
 * @param failureDomain failure domain of the instance
 * @param fleet settings of discovery
 * @param call settings of calls
 * @param stop settings of a planned stop
 * @param limits bounds on requests until a configuration states its own
 * @param dialect header fields of calls
 * @param decisionLog settings of the decision log
 * @param rehearses whether the process sends calls of its own to itself before it is ready, so that
 *     the first callers do not meet code that was never run
 * @param connectionSharers instances among which the connections of a backend server are divided
 */
public record DiscoverySettings(
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        String readinessPath,
        RegionId region,
        FailureDomainId failureDomain,
        FleetSettings fleet,
        CallSettings call,
        StopSettings stop,
        CallLimits limits,
        HttpDialect dialect,
        DecisionLogSettings decisionLog,
        boolean rehearses,
        int connectionSharers) {}
