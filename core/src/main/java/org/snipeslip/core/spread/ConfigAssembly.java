package org.snipeslip.core.spread;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snipeslip.core.config.ConfigCodec;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.config.ConfigPart;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.error.ConfigFault;
import org.snipeslip.core.id.Generation;

/**
 * The configuration in force and the newer one being collected. Holds the parts of these two and no
 * others. A generation is adopted only when whole, decodable and newer than the one in force.
 */
final class ConfigAssembly {
    /** Bound on the text of the parts of one generation. */
    static final long MAX_BYTES = 16L << 20;

    private final ConfigCodec codec;
    private final Map<String, ConfigPart> parts = new HashMap<>();
    private final Set<String> missing = new LinkedHashSet<>();
    private ConfigSet inForce = ConfigSet.EMPTY;
    private ConfigHead inForceHead;
    private ConfigHead wanted;
    private ConfigHead refused;
    private long refusedParts;

    ConfigAssembly(ConfigCodec codec) {
        this.codec = codec;
    }

    ConfigSet inForce() {
        return inForce;
    }

    /** Returns the head in force, or null before the first. */
    ConfigHead inForceHead() {
        return inForceHead;
    }

    /** Returns the head being collected, or null. */
    ConfigHead wanted() {
        return wanted;
    }

    /** Returns the newest generation in force or being collected. */
    Generation target() {
        return wanted == null ? inForce.generation() : wanted.generation();
    }

    /** Returns the digests that are still missing, in order. */
    Collection<String> missing() {
        return missing;
    }

    /** Returns the number of parts refused because their digest did not match. */
    long refusedParts() {
        return refusedParts;
    }

    int partsHeld() {
        return parts.size();
    }

    /** Begins to collect a head; tells whether it is newer than every head seen so far. */
    boolean want(ConfigHead head) {
        if (!head.generation().isNewerThan(target()) || isRefused(head)) {
            return false;
        }
        wanted = head;
        retainUsed();
        missing.clear();
        for (String digest : head.digests()) {
            if (!parts.containsKey(digest)) {
                missing.add(digest);
            }
        }
        return true;
    }

    /** Takes a part; tells whether it was missing and its digest matches its text. */
    boolean put(ConfigPart part) {
        if (!missing.contains(part.digest())) {
            return false;
        }
        if (!codec.digest(part.text()).equals(part.digest())) {
            refusedParts++;
            return false;
        }
        missing.remove(part.digest());
        parts.put(part.digest(), part);
        return true;
    }

    /** Adopts the wanted generation if it is whole and decodable; tells whether it did. */
    boolean adopt() {
        if (wanted == null || !missing.isEmpty()) {
            return false;
        }
        ConfigHead head = wanted;
        List<ConfigPart> ordered = new ArrayList<>();
        long sizeBytes = 0;
        for (String digest : head.digests()) {
            ConfigPart part = parts.get(digest);
            ordered.add(part);
            sizeBytes += part.text().length();
        }
        if (sizeBytes > MAX_BYTES) {
            refuse();
            return false;
        }
        Either<ConfigFault, ConfigSet> decoded = codec.decode(head, ordered);
        if (decoded.isLeft()) {
            refuse();
            return false;
        }
        if (!head.generation().isNewerThan(inForce.generation())) {
            drop();
            return false;
        }
        inForce = decoded.get();
        inForceHead = head;
        drop();
        return true;
    }

    /** Stops collecting. */
    void drop() {
        wanted = null;
        missing.clear();
        retainUsed();
    }

    /** Returns those of the parts in memory that fit into a message. */
    List<ConfigPart> partsFor(List<String> digests, int limitBytes, int overheadBytes) {
        List<ConfigPart> found = new ArrayList<>();
        long sizeBytes = 0;
        for (String digest : digests) {
            ConfigPart part = parts.get(digest);
            if (part == null) {
                continue;
            }
            long partBytes =
                    part.text().getBytes(StandardCharsets.UTF_8).length + (long) overheadBytes;
            if (sizeBytes + partBytes <= limitBytes) {
                sizeBytes += partBytes;
                found.add(part);
            }
        }
        return found;
    }

    private void refuse() {
        refused = wanted;
        drop();
    }

    private boolean isRefused(ConfigHead head) {
        return refused != null
                && refused.generation().equals(head.generation())
                && refused.writer().equals(head.writer());
    }

    private void retainUsed() {
        Set<String> used = new HashSet<>();
        if (inForceHead != null) {
            used.addAll(inForceHead.digests());
        }
        if (wanted != null) {
            used.addAll(wanted.digests());
        }
        parts.keySet().retainAll(used);
    }
}
