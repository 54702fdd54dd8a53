package org.snipeslip.server.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.snipeslip.core.config.ConfigCodec;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.config.ConfigPart;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.FailureDomain;
import org.snipeslip.core.config.HomeRegion;
import org.snipeslip.core.config.Organisation;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.config.Service;
import org.snipeslip.core.error.ConfigFault;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RouteId;
import org.snipeslip.core.id.ServiceId;

/** Stores configuration objects as JSON, one object a part. */
public final class ConfigJson implements ConfigCodec {
    private static final String KIND = "kind";

    private final ObjectMapper mapper =
            JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    @Override
    public Either<ConfigFault, ConfigHead> decodeHead(String text) {
        try {
            JsonNode node = mapper.readTree(text);
            List<String> digests = new ArrayList<>();
            node.path("digests").forEach(digest -> digests.add(digest.asText()));
            return Either.right(
                    new ConfigHead(
                            new Generation(node.path("generation").asLong()),
                            node.path("writer").asText(),
                            digests));
        } catch (JsonProcessingException e) {
            return Either.left(syntax(ConfigHead.KEY, e));
        }
    }

    @Override
    public String encodeHead(ConfigHead head) {
        ObjectNode node = mapper.createObjectNode();
        node.put("generation", head.generation().number());
        node.put("writer", head.writer());
        head.digests().forEach(node.putArray("digests")::add);
        return node.toString();
    }

    @Override
    public Either<ConfigFault, ConfigSet> decode(ConfigHead head, List<ConfigPart> parts) {
        Map<RegionId, HomeRegion> homeRegions = new HashMap<>();
        Map<FailureDomainId, FailureDomain> failureDomains = new HashMap<>();
        Map<OrganisationId, Organisation> organisations = new HashMap<>();
        Map<ServiceId, Service> services = new HashMap<>();
        Map<RouteId, Route> routes = new HashMap<>();
        for (ConfigPart part : parts) {
            Either<ConfigFault, Object> object = decodeObject(part.digest(), part.text());
            if (object.isLeft()) {
                return Either.left(object.getLeft());
            }
            switch (object.get()) {
                case HomeRegion o -> homeRegions.put(o.id(), o);
                case FailureDomain o -> failureDomains.put(o.id(), o);
                case Organisation o -> organisations.put(o.id(), o);
                case Service o -> services.put(o.id(), o);
                case Route o -> routes.put(o.id(), o);
                default -> throw new IllegalStateException(object.get().getClass().getName());
            }
        }
        return Either.right(
                new ConfigSet(
                        head.generation(),
                        homeRegions,
                        failureDomains,
                        organisations,
                        services,
                        routes));
    }

    @Override
    public String digest(String text) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(sha256.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }

    /**
     * Reads one object.
     *
     * @param source file or key, for messages
     * @param text JSON with a field "kind"
     * @return the object, or why it cannot be read
     */
    public Either<ConfigFault, Object> decodeObject(String source, String text) {
        try {
            JsonNode node = mapper.readTree(text);
            String kind = node.path(KIND).asText();
            return switch (kind) {
                case "HomeRegion" -> Either.right(ObjectReader.homeRegion(node));
                case "FailureDomain" -> Either.right(ObjectReader.failureDomain(node));
                case "Organisation" -> Either.right(ObjectReader.organisation(node));
                case "Service" -> Either.right(ObjectReader.service(node));
                case "Route" -> Either.right(ObjectReader.route(node));
                default ->
                        Either.left(
                                new ConfigFault(
                                        source,
                                        "",
                                        KIND,
                                        ConfigFault.Rule.UNKNOWN_KIND,
                                        "found \"" + kind + "\""));
            };
        } catch (JsonProcessingException e) {
            return Either.left(syntax(source, e));
        }
    }

    private static ConfigFault syntax(String source, JsonProcessingException e) {
        return new ConfigFault(source, "", "", ConfigFault.Rule.SYNTAX, e.getOriginalMessage());
    }
}
