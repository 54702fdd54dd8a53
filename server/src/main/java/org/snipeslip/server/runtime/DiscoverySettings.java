package org.snipeslip.server.runtime;

import java.net.InetSocketAddress;
import org.snipeslip.core.access.AccessSettings;
import org.snipeslip.core.call.CallSettings;
import org.snipeslip.core.discovery.DiscoveryEngineSettings;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.instance.StopSettings;
import org.snipeslip.core.quota.QuotaSettings;
import org.snipeslip.server.http.CallLimits;
import org.snipeslip.server.http.HttpDialect;
import org.snipeslip.server.log.DecisionLogSettings;

/**
 * Settings of a {@link DiscoveryProcess}.
 *
 * @param callerAddress address on which callers connect
 * @param readinessAddress address on which the load balancer in front of the instance checks its
 *     readiness; also serves the operator endpoints, such as metrics
 * @param readinessPath URL path of the readiness check
 * @param region region of the instance
 * @param failureDomain failure domain of the instance
 * @param discovery settings of the discovery engine
 * @param call settings of the call engine
 * @param stop settings of a planned stop
 * @param access how fresh the configuration must be for calls with an API key
 * @param limits limits on request sizes; a discovered configuration overrides those on headers and
 *     bodies
 * @param dialect names and meaning of the header fields of calls
 * @param decisionLog settings of the decision log
 * @param warmsUpJvm whether the process sends calls to itself before it is ready, so that the code
 *     that serves the first callers is already loaded and compiled
 * @param instancesSharingConnections number of instances among which the connection limit of each
 *     backend server is divided
 * @param peerFeed settings of the port for other instances, or null to open none
 * @param quota by how much quotas of organisations may be exceeded, or null if there are none
 */
public record DiscoverySettings(
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        String readinessPath,
        RegionId region,
        FailureDomainId failureDomain,
        DiscoveryEngineSettings discovery,
        CallSettings call,
        StopSettings stop,
        AccessSettings access,
        CallLimits limits,
        HttpDialect dialect,
        DecisionLogSettings decisionLog,
        boolean warmsUpJvm,
        int instancesSharingConnections,
        PeerFeedSettings peerFeed,
        QuotaSettings quota) {}
