package org.snipeslip.server.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.snipeslip.core.call.CallSettings;
import org.snipeslip.core.control.ControlSettings;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.idempotency.IdempotencySettings;
import org.snipeslip.core.instance.InstanceSettings;
import org.snipeslip.core.instance.StopSettings;
import org.snipeslip.core.peer.PeerAddress;
import org.snipeslip.core.store.StoreSettings;
import org.snipeslip.server.settings.SettingsFault.Rule;

/**
 * Converts a tree that is valid against the schema to settings, and applies the rules that a schema
 * cannot express: address syntax, the peer key and its file, and contradictions between keys.
 */
final class SettingsAssembler {
    private static final int MIN_KEY_CHARACTERS = 16;
    private static final int MAX_PORT = 65_535;

    private final JsonNode node;
    private final Path folder;
    private final SettingsSchema schema;
    private final List<SettingsFault> faults;

    SettingsAssembler(
            JsonNode node, Path folder, SettingsSchema schema, List<SettingsFault> faults) {
        this.node = node;
        this.folder = folder;
        this.schema = schema;
        this.faults = faults;
    }

    ProcessSettings assemble(long incarnation) {
        LimitSettings limits = limits(node.path("limits"));
        PeerSettings peers = peers();
        return new ProcessSettings(
                instance(limits, peers, incarnation),
                address("callerAddress", text("callerAddress")),
                address("operatorAddress", text("operatorAddress")),
                objectApi(),
                node.path("ioThreads").asInt(ProcessSettings.DEFAULT_IO_THREADS),
                incarnation,
                instances(),
                selection(),
                peers,
                limits,
                measuring(node.path("measuring")),
                objectApiBudget(node.path("objectApiBudget")),
                log(node.path("log")));
    }

    private InstanceSettings instance(LimitSettings limits, PeerSettings peers, long incarnation) {
        return new InstanceSettings(
                new InstanceId(text("instance")),
                new FailureDomainId(text("failureDomain")),
                new RegionId(text("region")),
                peerAddress("peerAddress", text("peerAddress")),
                incarnation,
                calls(limits),
                ControlSettings.DEFAULT.withSeeds(peers.seeds()).withStore(store()),
                IdempotencySettings.DEFAULT,
                stop(node.path("stop")));
    }

    private StoreSettings store() {
        ObjectApiBudget budget = objectApiBudget(node.path("objectApiBudget"));
        return StoreSettings.DEFAULT.withRate(budget.callsPerSecond(), budget.burst());
    }

    private CallSettings calls(LimitSettings limits) {
        return CallSettings.DEFAULT
                .withQueueLimit(limits.queue())
                .withInstances(instances())
                .withPolicy(selection().policy())
                .withProbeSettings(measuring(node.path("measuring")).probeSettings());
    }

    private int instances() {
        return node.path("instances").asInt(ProcessSettings.DEFAULT_INSTANCES);
    }

    private SelectionName selection() {
        return SelectionName.of(node.path("selection").asText(SelectionName.EXPECTED_TIME.text()));
    }

    private StopSettings stop(JsonNode group) {
        StopSettings defaults = StopSettings.DEFAULT;
        StopSettings stop =
                new StopSettings(
                        group.path("balancerWaitMillis").asLong(defaults.balancerWaitMillis()),
                        group.path("timeLimitMillis").asLong(defaults.timeLimitMillis()));
        if (stop.balancerWaitMillis() >= stop.timeLimitMillis()) {
            String detail =
                    "found %d, required less than stop.timeLimitMillis (%d)"
                            .formatted(stop.balancerWaitMillis(), stop.timeLimitMillis());
            faults.add(new SettingsFault("stop.balancerWaitMillis", Rule.CONTRADICTION, detail));
        }
        return stop;
    }

    private static LimitSettings limits(JsonNode group) {
        LimitSettings defaults = LimitSettings.DEFAULT;
        return new LimitSettings(
                group.path("headerBytes").asInt(defaults.headerBytes()),
                group.path("bodyBytes").asLong(defaults.bodyBytes()),
                group.path("queue").asInt(defaults.queue()));
    }

    private static MeasurementBudget measuring(JsonNode group) {
        MeasurementBudget defaults = MeasurementBudget.DEFAULT;
        return new MeasurementBudget(
                group.path("bytesPerSecond").asInt(defaults.bytesPerSecond()),
                group.path("callsPerSecond").asInt(defaults.callsPerSecond()),
                group.path("crossRegionBytesPerSecond").asInt(defaults.crossRegionBytesPerSecond()),
                group.path("crossRegionCallsPerSecond")
                        .asInt(defaults.crossRegionCallsPerSecond()));
    }

    private static ObjectApiBudget objectApiBudget(JsonNode group) {
        ObjectApiBudget defaults = ObjectApiBudget.DEFAULT;
        return new ObjectApiBudget(
                group.path("callsPerSecond").asInt(defaults.callsPerSecond()),
                group.path("burst").asInt(defaults.burst()));
    }

    private static LogSettings log(JsonNode group) {
        LogSettings defaults = LogSettings.DEFAULT;
        String decisions = group.path("decisions").asText(defaults.decisions().name());
        return new LogSettings(
                LogSettings.Decisions.valueOf(decisions.toUpperCase(Locale.ROOT)),
                group.path("sampleEvery").asInt(defaults.sampleEvery()));
    }

    private PeerSettings peers() {
        List<PeerAddress> seeds = new ArrayList<>();
        for (JsonNode seed : node.path("peers")) {
            seeds.add(peerAddress("peers[" + seeds.size() + "]", seed.asText()));
        }
        String key = peerKey();
        if (key.isEmpty() && !seeds.isEmpty()) {
            String detail = "peers require a key: set peerKeyFile or peerKey";
            faults.add(new SettingsFault("peerKeyFile", Rule.MISSING_KEY, detail));
        }
        return new PeerSettings(key, seeds);
    }

    private String peerKey() {
        if (!node.has("peerKeyFile")) {
            return node.path("peerKey").asText("");
        }
        if (node.has("peerKey")) {
            String detail = "peerKeyFile and peerKey are mutually exclusive";
            faults.add(new SettingsFault("peerKey", Rule.CONTRADICTION, detail));
        }
        try {
            String key = Files.readString(folder.resolve(text("peerKeyFile"))).strip();
            if (key.length() < MIN_KEY_CHARACTERS) {
                String detail =
                        "found a key of %d characters, allowed %s"
                                .formatted(key.length(), schema.allowed("peerKey"));
                faults.add(new SettingsFault("peerKeyFile", Rule.OUT_OF_RANGE, detail));
            }
            return key;
        } catch (IOException e) {
            faults.add(new SettingsFault("peerKeyFile", Rule.UNREADABLE, e.toString()));
            return "";
        }
    }

    private URI objectApi() {
        String text = text("objectApi");
        address("objectApi", text.substring("http://".length()));
        return URI.create(text);
    }

    private PeerAddress peerAddress(String key, String text) {
        InetSocketAddress address = address(key, text);
        return new PeerAddress(address.getHostString(), address.getPort());
    }

    /** Parses an IP literal and port. The schema allows no host names, so none is resolved. */
    private InetSocketAddress address(String key, String text) {
        int colon = text.lastIndexOf(':');
        String host = text.substring(0, colon).replace("[", "").replace("]", "");
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            InetAddress.ofLiteral(host);
            if (port >= 1 && port <= MAX_PORT) {
                return InetSocketAddress.createUnresolved(host, port);
            }
        } catch (IllegalArgumentException e) {
            // Reported below, in the same way as a port out of range.
        }
        String detail = "found \"%s\", allowed %s".formatted(text, schema.allowed(key));
        faults.add(new SettingsFault(key, Rule.OUT_OF_RANGE, detail));
        return InetSocketAddress.createUnresolved(host, 0);
    }

    private String text(String key) {
        return node.path(key).asText();
    }
}
