package org.snipeslip.server.config;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.config.CallClass;
import org.snipeslip.core.config.ConfigObject;
import org.snipeslip.core.config.FailureDomain;
import org.snipeslip.core.config.HomeRegion;
import org.snipeslip.core.config.ObjectKind;
import org.snipeslip.core.config.Organisation;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.config.Service;
import org.snipeslip.core.config.ServiceShare;
import org.snipeslip.core.error.ConfigFault;
import org.snipeslip.core.error.ConfigFault.Rule;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RouteId;
import org.snipeslip.core.id.ServiceId;

/** Reads a configuration object of any kind from its JSON tree and reports all its faults. */
final class ObjectReader {
    private static final long DEFAULT_DEADLINE_MILLIS = 10_000;
    private static final int DEFAULT_CONNECTION_LIMIT = 200;
    private static final int DEFAULT_SLOTS = 1;
    private static final int DEFAULT_WEIGHT = 1;

    private ObjectReader() {}

    static Either<List<ConfigFault>, ConfigObject> read(String source, JsonNode node) {
        if (!node.isObject()) {
            return fault(source, "", Rule.WRONG_TYPE, "a configuration object must be a map");
        }
        JsonNode kindNode = node.get(ObjectWriter.KIND);
        if (kindNode == null) {
            return fault(source, ObjectWriter.KIND, Rule.MISSING_FIELD, "the field is required");
        }
        Optional<ObjectKind> kind =
                kindNode.isTextual() ? ObjectKind.of(kindNode.textValue()) : Optional.empty();
        if (kind.isEmpty()) {
            return fault(source, ObjectWriter.KIND, Rule.UNKNOWN_KIND, "found " + kindNode);
        }
        List<ConfigFault> faults = new ArrayList<>();
        JsonNode name = node.path(ObjectWriter.NAME);
        String label = kind.get().text() + (name.isTextual() ? " " + name.textValue() : "");
        FieldReader fields = new FieldReader(source, label, "", node, faults);
        fields.requiredString(ObjectWriter.KIND);
        ConfigObject object = read(kind.get(), fields);
        fields.reportUnknownFields();
        return faults.isEmpty() ? Either.right(object) : Either.left(List.copyOf(faults));
    }

    private static Either<List<ConfigFault>, ConfigObject> fault(
            String source, String field, Rule rule, String detail) {
        return Either.left(List.of(new ConfigFault(source, "", field, rule, detail)));
    }

    private static ConfigObject read(ObjectKind kind, FieldReader fields) {
        String name = fields.requiredString(ObjectWriter.NAME);
        return switch (kind) {
            case HOME_REGION ->
                    new HomeRegion(new RegionId(name), fields.booleanOr("hostsObjectApi", false));
            case FAILURE_DOMAIN ->
                    new FailureDomain(
                            new FailureDomainId(name),
                            new RegionId(fields.requiredString("homeRegion")),
                            fields.booleanOr("inService", true));
            case ORGANISATION ->
                    new Organisation(
                            new OrganisationId(name),
                            regions(fields),
                            fields.intOr("weight", DEFAULT_WEIGHT));
            case SERVICE -> service(name, fields);
            case ROUTE -> route(name, fields);
        };
    }

    private static Service service(String name, FieldReader fields) {
        List<BackendServer> servers = new ArrayList<>();
        List<JsonNode> elements = fields.requiredElements("backendServers");
        for (int i = 0; i < elements.size(); i++) {
            String field = "backendServers[" + i + "]";
            FieldReader nested = fields.nested(field, elements.get(i));
            if (nested.isObject()) {
                servers.add(backendServer(nested));
                nested.reportUnknownFields();
            } else {
                fields.wrongType(field, "a map", elements.get(i));
            }
        }
        return new Service(new ServiceId(name), servers);
    }

    private static BackendServer backendServer(FieldReader fields) {
        return new BackendServer(
                new BackendServerId(fields.requiredString(ObjectWriter.NAME)),
                fields.requiredString("host"),
                (int) fields.requiredInteger("port", Integer.MIN_VALUE, Integer.MAX_VALUE),
                new FailureDomainId(fields.requiredString("failureDomain")),
                fields.intOr("slots", DEFAULT_SLOTS),
                fields.intOr("connectionLimit", DEFAULT_CONNECTION_LIMIT),
                fields.booleanOr("draining", false));
    }

    private static Route route(String name, FieldReader fields) {
        return new Route(
                new RouteId(name),
                fields.stringOr("host", "*"),
                fields.stringOr("pathPrefix", "/"),
                fields.stringSetOr("methods", Set.of()),
                new ServiceId(fields.requiredString("service")),
                callClass(fields),
                fields.stringSetOr("idempotentMethods", Route.SAFE_METHODS),
                regions(fields),
                fields.integerOr(
                        "deadlineMillis", DEFAULT_DEADLINE_MILLIS, Long.MIN_VALUE, Long.MAX_VALUE),
                split(fields),
                fields.intOr("maxTries", 0),
                fields.integerOr("targetLatencyMillis", 0, Long.MIN_VALUE, Long.MAX_VALUE),
                fields.intOr("rank", 0));
    }

    private static List<ServiceShare> split(FieldReader fields) {
        List<ServiceShare> shares = new ArrayList<>();
        List<JsonNode> elements = fields.elementsOrEmpty("split");
        for (int i = 0; i < elements.size(); i++) {
            String field = "split[" + i + "]";
            FieldReader nested = fields.nested(field, elements.get(i));
            if (nested.isObject()) {
                ServiceId service = new ServiceId(nested.requiredString("service"));
                shares.add(new ServiceShare(service, nested.intOr("weight", DEFAULT_WEIGHT)));
                nested.reportUnknownFields();
            } else {
                fields.wrongType(field, "a map", elements.get(i));
            }
        }
        return shares;
    }

    private static CallClass callClass(FieldReader fields) {
        String text = fields.stringOr("callClass", CallClass.INTERACTIVE.name());
        for (CallClass callClass : CallClass.values()) {
            if (callClass.name().equals(text.toUpperCase(Locale.ROOT))) {
                return callClass;
            }
        }
        if (!text.equals(FieldReader.PLACEHOLDER)) {
            String detail = "found \"" + text + "\", allowed INTERACTIVE or BATCH";
            fields.addFault("callClass", Rule.OUT_OF_RANGE, detail);
        }
        return CallClass.INTERACTIVE;
    }

    private static Set<RegionId> regions(FieldReader fields) {
        return fields.stringSetOr("homeRegions", Set.of()).stream()
                .map(RegionId::new)
                .collect(Collectors.toSet());
    }
}
