package org.snipeslip.server.config;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.config.ConfigObject;
import org.snipeslip.core.config.FailureDomain;
import org.snipeslip.core.config.HomeRegion;
import org.snipeslip.core.config.Organisation;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.config.Service;
import org.snipeslip.core.config.ServiceShare;

/**
 * Writes configuration objects in their canonical form: every field, in a fixed order, sets sorted.
 * Equal objects therefore have equal digests.
 */
final class ObjectWriter {
    static final String KIND = "kind";
    static final String NAME = "name";

    private ObjectWriter() {}

    static ObjectNode write(ConfigObject object) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put(KIND, object.kind().text());
        node.put(NAME, object.name());
        switch (object) {
            case HomeRegion region -> node.put("hostsObjectApi", region.hostsObjectApi());
            case FailureDomain domain ->
                    node.put("homeRegion", domain.region().value())
                            .put("inService", domain.inService());
            case Organisation organisation -> {
                sorted(node.putArray("homeRegions"), organisation.homeRegions());
                node.put("weight", organisation.weight());
            }
            case Service service -> {
                ArrayNode servers = node.putArray("backendServers");
                service.backendServers().forEach(s -> backendServer(servers.addObject(), s));
            }
            case Route route -> route(node, route);
        }
        return node;
    }

    private static void backendServer(ObjectNode node, BackendServer server) {
        node.put(NAME, server.id().value())
                .put("host", server.host())
                .put("port", server.port())
                .put("failureDomain", server.failureDomain().value())
                .put("slots", server.slots())
                .put("connectionLimit", server.connectionLimit())
                .put("draining", server.draining());
    }

    private static void route(ObjectNode node, Route route) {
        node.put("host", route.host()).put("pathPrefix", route.pathPrefix());
        sorted(node.putArray("methods"), route.methods());
        node.put("service", route.service().value()).put("callClass", route.callClass().name());
        sorted(node.putArray("idempotentMethods"), route.idempotentMethods());
        sorted(node.putArray("homeRegions"), route.homeRegions());
        node.put("deadlineMillis", route.deadlineMillis());
        // Left out where they say nothing, so that the parts of older sets keep their digests.
        if (!route.split().isEmpty()) {
            ArrayNode split = node.putArray("split");
            for (ServiceShare share : route.split()) {
                split.addObject()
                        .put("service", share.service().value())
                        .put("weight", share.weight());
            }
        }
        putPositive(node, "maxTries", route.maxTries());
        putPositive(node, "targetLatencyMillis", route.targetLatencyMillis());
        putPositive(node, "rank", route.rank());
    }

    private static void putPositive(ObjectNode node, String field, long value) {
        if (value > 0) {
            node.put(field, value);
        }
    }

    private static void sorted(ArrayNode array, Collection<?> values) {
        values.stream().map(Object::toString).sorted().forEach(array::add);
    }
}
