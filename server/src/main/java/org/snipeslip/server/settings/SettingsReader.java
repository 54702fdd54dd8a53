package org.snipeslip.server.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.snipeslip.core.call.CallSettings;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.instance.InstanceSettings;
import org.snipeslip.core.instance.StopSettings;
import org.snipeslip.core.peer.PeerAddress;
import org.snipeslip.core.spread.ControlSettings;
import org.snipeslip.peer.PeerKey;

/** Reads the YAML settings of a process. */
public final class SettingsReader {
    private static final int DEFAULT_IO_THREADS = 2;

    private final ObjectMapper mapper = new ObjectMapper(new YAMLFactory());

    /**
     * Reads a file.
     *
     * @param file the file
     * @param incarnation number that grows with each start
     * @return the settings
     * @throws IOException if the file cannot be read
     */
    public ProcessSettings read(Path file, long incarnation) throws IOException {
        JsonNode node = mapper.readTree(file.toFile());
        InetSocketAddress peer = address(node.path("peerAddress").asText());
        InstanceSettings instance =
                new InstanceSettings(
                        new InstanceId(node.path("instance").asText()),
                        new FailureDomainId(node.path("failureDomain").asText()),
                        new RegionId(node.path("region").asText()),
                        new PeerAddress(peer.getHostString(), peer.getPort()),
                        incarnation,
                        CallSettings.DEFAULT,
                        ControlSettings.DEFAULT.withSeeds(seeds(node.path("seeds"))),
                        StopSettings.DEFAULT);
        return new ProcessSettings(
                instance,
                address(node.path("callerAddress").asText()),
                address(node.path("operatorAddress").asText()),
                URI.create(node.path("objectApi").asText()),
                node.path("ioThreads").asInt(DEFAULT_IO_THREADS),
                incarnation,
                node.hasNonNull("peerKey") ? new PeerKey(node.path("peerKey").asText()) : null);
    }

    private static List<PeerAddress> seeds(JsonNode node) {
        List<PeerAddress> seeds = new ArrayList<>();
        for (JsonNode seed : node) {
            InetSocketAddress address = address(seed.asText());
            seeds.add(new PeerAddress(address.getHostString(), address.getPort()));
        }
        return seeds;
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return InetSocketAddress.createUnresolved(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
