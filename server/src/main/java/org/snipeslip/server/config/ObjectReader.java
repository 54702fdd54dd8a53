package org.snipeslip.server.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.config.CallClass;
import org.snipeslip.core.config.FailureDomain;
import org.snipeslip.core.config.HomeRegion;
import org.snipeslip.core.config.Organisation;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.config.Service;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RouteId;
import org.snipeslip.core.id.ServiceId;

/** Reads each kind of configuration object from its JSON tree. */
final class ObjectReader {
    private static final long DEFAULT_DEADLINE_MILLIS = 10_000;
    private static final int DEFAULT_CONNECTION_LIMIT = 200;

    private ObjectReader() {}

    static HomeRegion homeRegion(JsonNode node) {
        return new HomeRegion(
                new RegionId(name(node)), node.path("hostsObjectApi").asBoolean(false));
    }

    static FailureDomain failureDomain(JsonNode node) {
        return new FailureDomain(
                new FailureDomainId(name(node)),
                new RegionId(node.path("homeRegion").asText()),
                node.path("inService").asBoolean(true));
    }

    static Organisation organisation(JsonNode node) {
        return new Organisation(
                new OrganisationId(name(node)),
                regions(node.path("homeRegions")),
                node.path("weight").asInt(1));
    }

    static Service service(JsonNode node) {
        List<BackendServer> servers = new ArrayList<>();
        node.path("backendServers").forEach(server -> servers.add(backendServer(server)));
        return new Service(new ServiceId(name(node)), servers);
    }

    static Route route(JsonNode node) {
        return new Route(
                new RouteId(name(node)),
                node.path("host").asText("*"),
                node.path("pathPrefix").asText("/"),
                texts(node.path("methods")),
                new ServiceId(node.path("service").asText()),
                CallClass.valueOf(node.path("callClass").asText("INTERACTIVE").toUpperCase()),
                node.has("idempotentMethods")
                        ? texts(node.path("idempotentMethods"))
                        : Route.SAFE_METHODS,
                regions(node.path("homeRegions")),
                node.path("deadlineMillis").asLong(DEFAULT_DEADLINE_MILLIS));
    }

    private static BackendServer backendServer(JsonNode node) {
        return new BackendServer(
                new BackendServerId(name(node)),
                node.path("host").asText(),
                node.path("port").asInt(),
                new FailureDomainId(node.path("failureDomain").asText()),
                node.path("slots").asInt(1),
                node.path("connectionLimit").asInt(DEFAULT_CONNECTION_LIMIT),
                node.path("draining").asBoolean(false));
    }

    private static String name(JsonNode node) {
        return node.path("name").asText();
    }

    private static Set<String> texts(JsonNode array) {
        Set<String> texts = new HashSet<>();
        array.forEach(element -> texts.add(element.asText()));
        return texts;
    }

    private static Set<RegionId> regions(JsonNode array) {
        Set<RegionId> regions = new HashSet<>();
        array.forEach(element -> regions.add(new RegionId(element.asText())));
        return regions;
    }
}
