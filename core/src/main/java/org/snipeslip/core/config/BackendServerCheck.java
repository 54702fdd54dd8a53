package org.snipeslip.core.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.snipeslip.core.error.ConfigFault.Rule;

/** Checks the field values of backend servers and that their addresses are valid and unique. */
final class BackendServerCheck {
    private static final int MAX_PORT = 65_535;
    private static final int MAX_SLOTS = 4_096;
    private static final int MAX_BACKEND_SERVERS = 4_096;

    private BackendServerCheck() {}

    static String fieldPath(int index, String name) {
        return "backendServers[" + index + "]." + name;
    }

    static void checkValues(SourcedObject sourced, Service service, FaultList faults) {
        int count = service.backendServers().size();
        faults.requireRange(sourced, "backendServers", count, 1, MAX_BACKEND_SERVERS);
        for (int i = 0; i < count; i++) {
            BackendServer server = service.backendServers().get(i);
            faults.requireRange(sourced, fieldPath(i, "port"), server.port(), 1, MAX_PORT);
            faults.requireRange(sourced, fieldPath(i, "slots"), server.slots(), 1, MAX_SLOTS);
            // An HTTP/1.1 connection carries one call at a time, so with fewer connections
            // than slots some slots would never be used.
            faults.requireRange(
                    sourced,
                    fieldPath(i, "connectionLimit"),
                    server.connectionLimit(),
                    Math.clamp(server.slots(), 1, MAX_SLOTS),
                    MAX_PORT);
        }
    }

    static void checkAddresses(List<SourcedObject> objects, FaultList faults) {
        Map<String, String> ownerByAddress = new HashMap<>();
        for (SourcedObject sourced : objects) {
            if (sourced.object() instanceof Service service) {
                for (int i = 0; i < service.backendServers().size(); i++) {
                    checkAddress(sourced, service, i, ownerByAddress, faults);
                }
            }
        }
    }

    private static void checkAddress(
            SourcedObject sourced,
            Service service,
            int index,
            Map<String, String> ownerByAddress,
            FaultList faults) {
        BackendServer server = service.backendServers().get(index);
        Optional<String> host = IpLiteral.canonical(server.host());
        if (host.isEmpty()) {
            String detail = "found \"" + server.host() + "\", allowed a unicast IP address";
            faults.add(sourced, fieldPath(index, "host"), Rule.NOT_AN_IP_ADDRESS, detail);
            return;
        }
        String address = host.get() + " port " + server.port();
        String owner = service.name() + "/" + server.id();
        String firstOwner = ownerByAddress.putIfAbsent(address, owner);
        if (firstOwner != null) {
            String detail = address + " also belongs to " + firstOwner;
            faults.add(sourced, fieldPath(index, "host"), Rule.DUPLICATE_ADDRESS, detail);
        }
    }
}
