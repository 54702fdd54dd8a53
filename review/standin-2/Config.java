import java.util.ArrayList;
import java.util.List;

/** Writes configurations as the operator does. */
final class Config {
    private final List<String> routes = new ArrayList<>();
    private final List<String> services = new ArrayList<>();

    Config service(String name) {
        services.add(
                ("{\"name\":\"%s\",\"healthPath\":\"/health\",\"maxConnections\":260,"
                                + "\"warmupS\":3,\"warmupPerS\":4.1}")
                        .formatted(name));
        return this;
    }

    Config route(String host, String pathPrefix, String kind, String service) {
        return route(host, pathPrefix, kind, service, 2.0);
    }

    Config route(String host, String pathPrefix, String kind, String service, double timeoutS) {
        routes.add(
                ("{\"name\":\"r-%05d\",\"host\":\"%s\",\"pathPrefix\":\"%s\","
                                + "\"kind\":\"%s\",\"timeoutS\":%s,"
                     + "\"targetLatencyS\":0.6,\"priority\":1,"
                                + "\"service\":\"%s\",\"maxAttempts\":2}")
                        .formatted(routes.size(), host, pathPrefix, kind, timeoutS, service));
        return this;
    }

    String json(int version) {
        return ("{\"version\":\"%08x\",\"routes\":[%s],\"services\":[%s],"
                        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
                        + "\"headerTimeoutS\":10,\"idleTimeoutS\":30}}")
                .formatted(version, String.join(",", routes), String.join(",", services));
    }
}
