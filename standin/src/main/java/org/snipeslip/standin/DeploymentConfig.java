package org.snipeslip.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** Configuration objects of a deployment of stand-ins: one service with three routes. */
final class DeploymentConfig {
    private static final String SERVICE = "marees";
    private static final int CONNECTION_LIMIT = 220;

    private final ObjectMapper mapper = new ObjectMapper();
    private final DeploymentSpec spec;
    private final String host;
    private final int firstBackendPort;

    DeploymentConfig(DeploymentSpec spec, String host, int firstBackendPort) {
        this.spec = spec;
        this.host = host;
        this.firstBackendPort = firstBackendPort;
    }

    /** Returns the objects as JSON, with some failure domains out of service. */
    List<String> objectsAsJson(List<Integer> outOfService) {
        List<String> objects = new ArrayList<>();
        for (String region : DeploymentRegions.ALL) {
            objects.add(
                    object("HomeRegion", region)
                            .put("hostsObjectApi", region.equals(DeploymentRegions.ALL.getFirst()))
                            .toString());
        }
        for (int i = 0; i < spec.failureDomains(); i++) {
            objects.add(
                    object("FailureDomain", "fd-" + i)
                            .put("homeRegion", DeploymentRegions.regionOf(i))
                            .put("inService", !outOfService.contains(i))
                            .toString());
        }
        objects.add(service().toString());
        objects.add(route("reads", EmbeddedDeployment.READ_PATH, "INTERACTIVE").toString());
        objects.add(route("archive", EmbeddedDeployment.BATCH_PATH, "BATCH").toString());
        objects.add(route("charges", EmbeddedDeployment.CHARGE_PATH, "INTERACTIVE").toString());
        return objects;
    }

    private ObjectNode service() {
        ObjectNode service = object("Service", SERVICE);
        ArrayNode servers = service.putArray("backendServers");
        for (int i = 0; i < spec.backendServers(); i++) {
            servers.addObject()
                    .put("name", SERVICE + "-" + i)
                    .put("host", host)
                    .put("port", firstBackendPort + i)
                    .put("failureDomain", "fd-" + i % spec.failureDomains())
                    .put("slots", spec.slots())
                    .put("connectionLimit", CONNECTION_LIMIT);
        }
        return service;
    }

    private ObjectNode route(String name, String pathPrefix, String callClass) {
        return object("Route", name)
                .put("pathPrefix", pathPrefix)
                .put("service", SERVICE)
                .put("callClass", callClass);
    }

    private ObjectNode object(String kind, String name) {
        return mapper.createObjectNode().put("kind", kind).put("name", name);
    }
}
