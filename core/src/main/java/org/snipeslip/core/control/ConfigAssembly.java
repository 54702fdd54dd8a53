package org.snipeslip.core.control;

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
 * The configuration in force and the newer one that is being collected. Only the parts of these two
 * are kept. A generation is adopted only if it is complete, decodable and newer than the one in
 * force.
 */
final class ConfigAssembly {
    /** Maximum total length of the texts of the parts of one generation. */
    static final long MAX_BYTES = 16L << 20;

    private final ConfigCodec codec;
    private final Map<String, ConfigPart> parts = new HashMap<>();
    private final Set<String> missing = new LinkedHashSet<>();
    private ConfigSet inForce = ConfigSet.EMPTY;
    private ConfigHead inForceHead;
    private ConfigHead pendingHead;
    private ConfigHead rejectedHead;
    private long rejectedParts;

    ConfigAssembly(ConfigCodec codec) {
        this.codec = codec;
    }

    ConfigSet inForce() {
        return inForce;
    }

    /** Returns the head in force, or null if no configuration was adopted yet. */
    ConfigHead inForceHead() {
        return inForceHead;
    }

    /** Returns the head whose parts are being collected, or null if there is none. */
    ConfigHead pendingHead() {
        return pendingHead;
    }

    /** Returns the newest generation in force or being collected. */
    Generation newestGeneration() {
        return pendingHead == null ? inForce.generation() : pendingHead.generation();
    }

    /** Returns the digests of the parts that are still missing, in the order of the head. */
    Collection<String> missing() {
        return missing;
    }

    /** Returns the number of parts rejected because their digest did not match their text. */
    long rejectedParts() {
        return rejectedParts;
    }

    int partCount() {
        return parts.size();
    }

    /**
     * Starts to collect the parts of a head and returns true, unless the head is not newer than the
     * one in force or being collected, or was rejected before.
     */
    boolean startCollecting(ConfigHead head) {
        if (!head.generation().isNewerThan(newestGeneration()) || isRejected(head)) {
            return false;
        }
        pendingHead = head;
        discardUnusedParts();
        missing.clear();
        for (String digest : head.digests()) {
            if (!parts.containsKey(digest)) {
                missing.add(digest);
            }
        }
        return true;
    }

    /** Adds a part and returns true, unless it is not missing or its digest does not match. */
    boolean addPart(ConfigPart part) {
        if (!missing.contains(part.digest())) {
            return false;
        }
        if (!codec.digest(part.text()).equals(part.digest())) {
            rejectedParts++;
            return false;
        }
        missing.remove(part.digest());
        parts.put(part.digest(), part);
        return true;
    }

    /** Adopts the generation being collected and returns true if it is complete and decodable. */
    boolean adoptIfComplete() {
        if (pendingHead == null || !missing.isEmpty()) {
            return false;
        }
        ConfigHead head = pendingHead;
        List<ConfigPart> ordered = new ArrayList<>();
        long sizeBytes = 0;
        for (String digest : head.digests()) {
            ConfigPart part = parts.get(digest);
            ordered.add(part);
            sizeBytes += part.text().length();
        }
        if (sizeBytes > MAX_BYTES) {
            rejectPending();
            return false;
        }
        Either<ConfigFault, ConfigSet> decoded = codec.decode(head, ordered);
        if (decoded.isLeft()) {
            rejectPending();
            return false;
        }
        if (!head.generation().isNewerThan(inForce.generation())) {
            stopCollecting();
            return false;
        }
        inForce = decoded.get();
        inForceHead = head;
        stopCollecting();
        return true;
    }

    /** Discards the head being collected and its parts, except those also used in force. */
    void stopCollecting() {
        pendingHead = null;
        missing.clear();
        discardUnusedParts();
    }

    /**
     * Returns the available parts among the requested ones, as many as fit into a message.
     *
     * @param digests the requested parts
     * @param limitBytes limit on the UTF-8 texts plus the overhead of each part
     * @param overheadBytes size of a part in the message besides its text
     */
    List<ConfigPart> selectParts(List<String> digests, int limitBytes, int overheadBytes) {
        List<ConfigPart> selected = new ArrayList<>();
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
                selected.add(part);
            }
        }
        return selected;
    }

    private void rejectPending() {
        rejectedHead = pendingHead;
        stopCollecting();
    }

    private boolean isRejected(ConfigHead head) {
        return rejectedHead != null
                && rejectedHead.generation().equals(head.generation())
                && rejectedHead.writer().equals(head.writer());
    }

    private void discardUnusedParts() {
        Set<String> used = new HashSet<>();
        if (inForceHead != null) {
            used.addAll(inForceHead.digests());
        }
        if (pendingHead != null) {
            used.addAll(pendingHead.digests());
        }
        parts.keySet().retainAll(used);
    }
}
