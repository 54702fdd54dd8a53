package org.snipeslip.server.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import org.snipeslip.core.instance.InstanceSettings;

/**
 * Settings of one entry instance process.
 *
 * @param instance settings of the state machine
 * @param callerAddress listen address for callers
 * @param operatorAddress listen address for operators and the health checks of the platform
 * @param objectApi base URI of the object API
 * @param ioThreads number of I/O threads
 * @param seed seed of the random number generator
 * @param instances number of entry instances among which connection limits are divided
 * @param selection policy that selects a backend server
 * @param peers settings of the connections between instances
 * @param limits size and queue limits of calls
 * @param measuring rate limits for probes and load messages
 * @param objectApiBudget rate limit for object API calls
 * @param log settings of the decision log
 */
public record ProcessSettings(
        InstanceSettings instance,
        InetSocketAddress callerAddress,
        InetSocketAddress operatorAddress,
        URI objectApi,
        int ioThreads,
        long seed,
        int instances,
        SelectionName selection,
        PeerSettings peers,
        LimitSettings limits,
        MeasurementBudget measuring,
        ObjectApiBudget objectApiBudget,
        LogSettings log) {
    /** Number of I/O threads if the settings do not contain the key. */
    public static final int DEFAULT_IO_THREADS = 2;

    /** Number of entry instances if not set; real deployments have 15 to 17. */
    public static final int DEFAULT_INSTANCES = 16;

    /**
     * Creates settings with defaults for all optional groups.
     *
     * @param instance settings of the state machine
     * @param callerAddress listen address for callers
     * @param operatorAddress listen address for operators and the health checks of the platform
     * @param objectApi base URI of the object API
     * @param ioThreads number of I/O threads
     * @param seed seed of the random number generator
     */
    public ProcessSettings(
            InstanceSettings instance,
            InetSocketAddress callerAddress,
            InetSocketAddress operatorAddress,
            URI objectApi,
            int ioThreads,
            long seed) {
        this(
                instance,
                callerAddress,
                operatorAddress,
                objectApi,
                ioThreads,
                seed,
                DEFAULT_INSTANCES,
                SelectionName.EXPECTED_TIME,
                PeerSettings.DEFAULT,
                LimitSettings.DEFAULT,
                MeasurementBudget.DEFAULT,
                ObjectApiBudget.DEFAULT,
                LogSettings.DEFAULT);
    }

    /**
     * Returns a copy with other peer settings.
     *
     * @param newPeers key and seed addresses
     * @return the copy
     */
    public ProcessSettings withPeers(PeerSettings newPeers) {
        return new ProcessSettings(
                instance,
                callerAddress,
                operatorAddress,
                objectApi,
                ioThreads,
                seed,
                instances,
                selection,
                newPeers,
                limits,
                measuring,
                objectApiBudget,
                log);
    }
}
