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
 * Writes configuration objects in their canonical form: fields in a fixed order and sets sorted, so
 * that equal objects have equal digests. Optional fields added by later releases are omitted while
 * they have their default value.
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
                addSorted(node.putArray("homeRegions"), organisation.homeRegions());
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
        addSorted(node.putArray("methods"), route.methods());
        node.put("service", route.service().value()).put("callClass", route.callClass().name());
        addSorted(node.putArray("idempotentMethods"), route.idempotentMethods());
        addSorted(node.putArray("homeRegions"), route.homeRegions());
        node.put("deadlineMillis", route.deadlineMillis());
        // Omitted if they have the default value, so that existing parts keep their digests.
        if (!route.split().isEmpty()) {
            ArrayNode split = node.putArray("split");
            for (ServiceShare share : route.split()) {
                split.addObject()
                        .put("service", share.service().value())
                        .put("weight", share.weight());
            }
        }
        putIfPositive(node, "maxTries", route.maxTries());
        putIfPositive(node, "targetLatencyMillis", route.targetLatencyMillis());
        putIfPositive(node, "rank", route.rank());
    }

    private static void putIfPositive(ObjectNode node, String field, long value) {
        if (value > 0) {
            node.put(field, value);
        }
    }

    private static void addSorted(ArrayNode array, Collection<?> values) {
        values.stream().map(Object::toString).sorted().forEach(array::add);
    }
}
