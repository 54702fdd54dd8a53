package org.snipeslip.core.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.snipeslip.core.error.ConfigFault.Rule;

/** Checks the values and addresses of backend servers. */
final class BackendServerCheck {
    private static final int MAX_PORT = 65_535;
    private static final int MAX_SLOTS = 4_096;
    private static final int MAX_BACKEND_SERVERS = 4_096;

    private BackendServerCheck() {}

    static String field(int index, String name) {
        return "backendServers[" + index + "]." + name;
    }

    static void values(SourcedObject at, Service service, FaultList faults) {
        int count = service.backendServers().size();
        faults.requireRange(at, "backendServers", count, 1, MAX_BACKEND_SERVERS);
        for (int i = 0; i < count; i++) {
            BackendServer server = service.backendServers().get(i);
            faults.requireRange(at, field(i, "port"), server.port(), 1, MAX_PORT);
            faults.requireRange(at, field(i, "slots"), server.slots(), 1, MAX_SLOTS);
            // HTTP/1.1 carries one call per connection: fewer connections than slots leave some
            // slots without work.
            faults.requireRange(
                    at,
                    field(i, "connectionLimit"),
                    server.connectionLimit(),
                    Math.clamp(server.slots(), 1, MAX_SLOTS),
                    MAX_PORT);
        }
    }

    static void addresses(List<SourcedObject> objects, FaultList faults) {
        Map<String, String> ownerByAddress = new HashMap<>();
        for (SourcedObject sourced : objects) {
            if (sourced.object() instanceof Service service) {
                for (int i = 0; i < service.backendServers().size(); i++) {
                    address(sourced, service, i, ownerByAddress, faults);
                }
            }
        }
    }

    private static void address(
            SourcedObject at,
            Service service,
            int index,
            Map<String, String> ownerByAddress,
            FaultList faults) {
        BackendServer server = service.backendServers().get(index);
        Optional<String> host = IpLiteral.canonical(server.host());
        if (host.isEmpty()) {
            String detail = "found \"" + server.host() + "\", allowed a unicast IP address";
            faults.add(at, field(index, "host"), Rule.NOT_AN_IP_ADDRESS, detail);
            return;
        }
        String address = host.get() + " port " + server.port();
        String owner = service.name() + "/" + server.id();
        String other = ownerByAddress.putIfAbsent(address, owner);
        if (other != null) {
            String detail = address + " also belongs to " + other;
            faults.add(at, field(index, "host"), Rule.DUPLICATE_ADDRESS, detail);
        }
    }
}
