package org.snipeslip.core.control;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snipeslip.core.config.ConfigCodec;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.config.ConfigPart;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.HomeRegion;
import org.snipeslip.core.error.ConfigFault;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.RegionId;

/**
 * Plain-text encoding of configurations for tests. Each part is decoded as a home region whose id
 * is the text of the part.
 */
final class TextCodec implements ConfigCodec {
    static final String UNDECODABLE = "undecodable";

    @Override
    public Either<ConfigFault, ConfigHead> decodeHead(String text) {
        String[] fields = text.split("\\|", -1);
        if (fields.length != 3) {
            return Either.left(fault());
        }
        List<String> digests = fields[2].isEmpty() ? List.of() : List.of(fields[2].split(","));
        return Either.right(
                new ConfigHead(new Generation(Long.parseLong(fields[0])), fields[1], digests));
    }

    @Override
    public String encodeHead(ConfigHead head) {
        return head.generation() + "|" + head.writer() + "|" + String.join(",", head.digests());
    }

    @Override
    public Either<ConfigFault, ConfigSet> decode(ConfigHead head, List<ConfigPart> parts) {
        Map<RegionId, HomeRegion> regions = new HashMap<>();
        for (ConfigPart part : parts) {
            if (part.text().startsWith(UNDECODABLE)) {
                return Either.left(fault());
            }
            RegionId id = new RegionId(part.text());
            regions.put(id, new HomeRegion(id, false));
        }
        return Either.right(
                new ConfigSet(head.generation(), regions, Map.of(), Map.of(), Map.of(), Map.of()));
    }

    @Override
    public String digest(String text) {
        return "d" + Integer.toHexString(text.hashCode()) + "-" + text.length();
    }

    private static ConfigFault fault() {
        return new ConfigFault("", "", "", ConfigFault.Rule.SYNTAX, "");
    }
}
