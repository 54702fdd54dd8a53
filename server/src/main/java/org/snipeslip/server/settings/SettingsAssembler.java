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
 * Turns a tree that the schema admits into settings, and applies the rules that a schema cannot
 * express: valid addresses, and keys that contradict each other.
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
                .withProbeSettings(measuring(node.path("measuring")).probes());
    }

    private int instances() {
        return node.path("instances").asInt(ProcessSettings.DEFAULT_INSTANCES);
    }

    private SelectionName selection() {
        return SelectionName.of(node.path("selection").asText(SelectionName.EXPECTED_TIME.text()));
    }

    private StopSettings stop(JsonNode group) {
        StopSettings absent = StopSettings.DEFAULT;
        StopSettings stop =
                new StopSettings(
                        group.path("balancerWaitMillis").asLong(absent.balancerWaitMillis()),
                        group.path("timeLimitMillis").asLong(absent.timeLimitMillis()));
        if (stop.balancerWaitMillis() >= stop.timeLimitMillis()) {
            String detail =
                    "found %d, required less than stop.timeLimitMillis (%d)"
                            .formatted(stop.balancerWaitMillis(), stop.timeLimitMillis());
            faults.add(new SettingsFault("stop.balancerWaitMillis", Rule.CONTRADICTION, detail));
        }
        return stop;
    }

    private static LimitSettings limits(JsonNode group) {
        LimitSettings absent = LimitSettings.DEFAULT;
        return new LimitSettings(
                group.path("headerBytes").asInt(absent.headerBytes()),
                group.path("bodyBytes").asLong(absent.bodyBytes()),
                group.path("queue").asInt(absent.queue()));
    }

    private static MeasuringSettings measuring(JsonNode group) {
        MeasuringSettings absent = MeasuringSettings.DEFAULT;
        return new MeasuringSettings(
                group.path("bytesPerSecond").asInt(absent.bytesPerSecond()),
                group.path("callsPerSecond").asInt(absent.callsPerSecond()),
                group.path("crossRegionBytesPerSecond").asInt(absent.crossRegionBytesPerSecond()),
                group.path("crossRegionCallsPerSecond").asInt(absent.crossRegionCallsPerSecond()));
    }

    private static ObjectApiBudget objectApiBudget(JsonNode group) {
        ObjectApiBudget absent = ObjectApiBudget.DEFAULT;
        return new ObjectApiBudget(
                group.path("callsPerSecond").asInt(absent.callsPerSecond()),
                group.path("burst").asInt(absent.burst()));
    }

    private static LogSettings log(JsonNode group) {
        LogSettings absent = LogSettings.DEFAULT;
        String decisions = group.path("decisions").asText(absent.decisions().name());
        return new LogSettings(
                LogSettings.Decisions.valueOf(decisions.toUpperCase(Locale.ROOT)),
                group.path("sampleEvery").asInt(absent.sampleEvery()));
    }

    private PeerSettings peers() {
        List<PeerAddress> seeds = new ArrayList<>();
        for (JsonNode seed : node.path("peers")) {
            seeds.add(peerAddress("peers[" + seeds.size() + "]", seed.asText()));
        }
        String key = peerKey();
        if (key.isEmpty() && !seeds.isEmpty()) {
            String detail = "peers need a key: set peerKeyFile or peerKey";
            faults.add(new SettingsFault("peerKeyFile", Rule.MISSING_KEY, detail));
        }
        return new PeerSettings(key, seeds);
    }

    private String peerKey() {
        if (!node.has("peerKeyFile")) {
            return node.path("peerKey").asText("");
        }
        if (node.has("peerKey")) {
            String detail = "peerKeyFile and peerKey exclude each other";
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

    /** The schema admits only digits and separators, so no name is ever resolved. */
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
            // Reported below like a port out of range.
        }
        String detail = "found \"%s\", allowed %s".formatted(text, schema.allowed(key));
        faults.add(new SettingsFault(key, Rule.OUT_OF_RANGE, detail));
        return InetSocketAddress.createUnresolved(host, 0);
    }

    private String text(String key) {
        return node.path(key).asText();
    }
}
