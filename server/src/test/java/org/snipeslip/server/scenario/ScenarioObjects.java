package org.snipeslip.server.scenario;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;

/** Configuration of a scenario: one service and routes for reads, charges, batch and one region. */
final class ScenarioObjects {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ScenarioObjects() {}

    static List<String> json(
            ScenarioFile scenario,
            Collection<FakeBackendServer> servers,
            Set<String> outOfService,
            Set<String> drained) {
        List<String> objects = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            objects.add(
                    object("HomeRegion", Simulation.region(i))
                            .put("hostsObjectApi", i == 0)
                            .toString());
        }
        for (int i = 0; i < scenario.failureDomains(); i++) {
            objects.add(
                    object("FailureDomain", "fd-" + i)
                            .put("homeRegion", Simulation.region(i))
                            .put("inService", !outOfService.contains("fd-" + i))
                            .toString());
        }
        ObjectNode service = object("Service", "marees");
        ArrayNode array = service.putArray("backendServers");
        int port = 9_000;
        for (FakeBackendServer server : servers) {
            array.addObject()
                    .put("name", server.name)
                    .put("host", "10.1.0.1")
                    .put("port", port++)
                    .put("failureDomain", server.failureDomain)
                    .put("slots", scenario.slots())
                    .put("connectionLimit", 220)
                    .put("draining", drained.contains(server.name));
        }
        objects.add(service.toString());
        objects.add(route("reads", "/marees", "INTERACTIVE").toString());
        objects.add(route("archive", "/archive", "BATCH").toString());
        objects.add(route("charges", "/charges", "INTERACTIVE").toString());
        ObjectNode bound = route("bound", "/bound", "INTERACTIVE");
        bound.putArray("homeRegions").add("casamance");
        objects.add(bound.toString());
        return objects;
    }

    private static ObjectNode route(String name, String pathPrefix, String callClass) {
        return object("Route", name)
                .put("pathPrefix", pathPrefix)
                .put("service", "marees")
                .put("callClass", callClass);
    }

    private static ObjectNode object(String kind, String name) {
        return MAPPER.createObjectNode().put("kind", kind).put("name", name);
    }
}
