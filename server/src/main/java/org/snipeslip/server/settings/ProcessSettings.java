package org.snipeslip.server.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import org.snipeslip.core.instance.InstanceSettings;
import org.snipeslip.peer.PeerKey;

/**
 * Settings of one entry instance process.
 *
 * @param instance settings of the state machine
 * @param callerAddress where callers connect
 * @param operatorAddress where operators and the platform's health checks connect
 * @param objectApi origin of the object API
 * @param ioThreads number of I/O threads
 * @param seed seed of random choices
 * @param peerKey key shared by all instances, or null for an instance without peers
 */
public record ProcessSettings(
        InstanceSettings instance,
        InetSocketAddress callerAddress,
        InetSocketAddress operatorAddress,
        URI objectApi,
        int ioThreads,
        long seed,
        PeerKey peerKey) {}
