package org.snipeslip.server.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import org.snipeslip.core.instance.InstanceSettings;

/**
 * Settings of one entry instance process.
 *
 * @param instance settings of the state machine
 * @param callerAddress where callers connect
 * @param operatorAddress where operators and the platform's health checks connect
 * @param objectApi origin of the object API
 * @param ioThreads number of I/O threads
 * @param seed seed of random choices
 * @param instances number of entry instances that share the connection limits
 * @param selection selection policy
 * @param peers settings of the connections between instances
 * @param limits limits of calls
 * @param measuring budget of measurements
 * @param objectApiBudget budget of object API calls
 * @param log settings of the log
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
        MeasuringSettings measuring,
        ObjectApiBudget objectApiBudget,
        LogSettings log) {
    /** Number of I/O threads if the settings name none. */
    public static final int DEFAULT_IO_THREADS = 2;

    /** Number of entry instances if the settings name none; real fleets have 15 to 17. */
    public static final int DEFAULT_INSTANCES = 16;

    /**
     * Creates settings with defaults for all optional groups.
     *
     * @param instance settings of the state machine
     * @param callerAddress where callers connect
     * @param operatorAddress where operators and the platform's health checks connect
     * @param objectApi origin of the object API
     * @param ioThreads number of I/O threads
     * @param seed seed of random choices
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
                MeasuringSettings.DEFAULT,
                ObjectApiBudget.DEFAULT,
                LogSettings.DEFAULT);
    }

    /**
     * Returns the same settings with other peers.
     *
     * @param newPeers key and seed addresses
     * @return the settings
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
