package org.snipeslip.standin;

import org.snipeslip.core.call.CallSettings;

/**
 * Shape of an embedded deployment.
 *
 * @param instances number of entry instances
 * @param failureDomains number of failure domains, spread over three regions
 * @param backendServers number of backend servers of each service, spread over the failure domains
 * @param slots slots of each backend server
 * @param meanServiceMicros mean service time in microseconds
 * @param queueLimit calls that a backend server holds before it refuses
 * @param call settings of calls
 */
public record DeploymentSpec(
        int instances,
        int failureDomains,
        int backendServers,
        int slots,
        long meanServiceMicros,
        int queueLimit,
        CallSettings call) {
    /**
     * Returns the highest rate that all backend servers of a service can serve.
     *
     * @return calls per second
     */
    public double capacityPerSecond() {
        return backendServers * slots * 1e6 / meanServiceMicros;
    }
}
