package org.snipeslip.core.once;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.snipeslip.core.store.StoredObject;

/**
 * A partition's log as listed.
 *
 * @param last newest sequence number, 0 for an empty log
 * @param base oldest sequence number needed
 * @param lastSegment the newest segment, or null
 * @param records the record of each key
 * @param versions object version by sequence number, of all segments listed
 */
record Replay(
        long last,
        long base,
        Segment lastSegment,
        Map<String, ClaimRecord> records,
        SortedMap<Long, Long> versions) {
    static Either<Fault, Replay> of(PartitionId id, List<StoredObject> objects) {
        TreeMap<Long, Segment> segments = new TreeMap<>();
        TreeMap<Long, Long> versions = new TreeMap<>();
        for (StoredObject object : objects) {
            long sequence;
            try {
                sequence = Long.parseLong(object.key().substring(id.logPrefix().length()));
            } catch (NumberFormatException e) {
                return Either.left(Fault.KEY);
            }
            Either<SegmentCodec.Fault, Segment> decoded = SegmentCodec.decode(object.value());
            if (decoded.isLeft()) {
                return Either.left(Fault.SEGMENT);
            }
            segments.put(sequence, decoded.get());
            versions.put(sequence, object.version());
        }
        if (segments.isEmpty()) {
            return Either.right(new Replay(0, 1, null, Map.of(), versions));
        }
        return replay(segments, versions);
    }

    private static Either<Fault, Replay> replay(
            TreeMap<Long, Segment> segments, TreeMap<Long, Long> versions) {
        long last = segments.lastKey();
        long base = 1;
        for (Segment segment : segments.values()) {
            base = Math.max(base, segment.base());
        }
        Map<String, ClaimRecord> records = new HashMap<>();
        for (long sequence = base; sequence <= last; sequence++) {
            Segment segment = segments.get(sequence);
            if (segment == null) {
                return Either.left(Fault.GAP);
            }
            segment.records().forEach(record -> records.put(record.digest(), record));
        }
        return Either.right(new Replay(last, base, segments.get(last), records, versions));
    }

    /** Why a log cannot be replayed. */
    enum Fault {
        /** A key has no sequence number. */
        KEY,
        /** A segment cannot be read. */
        SEGMENT,
        /** A needed segment is missing. */
        GAP
    }
}
