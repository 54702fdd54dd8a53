package org.snipeslip.core.idempotency;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.snipeslip.core.store.StoredObject;

/**
 * Contents of a partition's log, read from a listing of its segments.
 *
 * @param lastSequence newest sequence number; 0 if the log is empty
 * @param baseSequence oldest sequence number that is still needed
 * @param lastSegment the newest segment, or null if the log is empty
 * @param records latest record of each key, by digest
 * @param versions object versions of all listed segments, by sequence number
 */
record LogContents(
        long lastSequence,
        long baseSequence,
        Segment lastSegment,
        Map<String, ClaimRecord> records,
        SortedMap<Long, Long> versions) {
    static Either<ReadError, LogContents> of(PartitionId id, List<StoredObject> objects) {
        TreeMap<Long, Segment> segments = new TreeMap<>();
        TreeMap<Long, Long> versions = new TreeMap<>();
        for (StoredObject object : objects) {
            long sequence;
            try {
                sequence = Long.parseLong(object.key().substring(id.logPrefix().length()));
            } catch (NumberFormatException e) {
                return Either.left(ReadError.KEY);
            }
            Either<SegmentCodec.DecodeError, Segment> decoded = SegmentCodec.decode(object.value());
            if (decoded.isLeft()) {
                return Either.left(ReadError.SEGMENT);
            }
            segments.put(sequence, decoded.get());
            versions.put(sequence, object.version());
        }
        if (segments.isEmpty()) {
            return Either.right(new LogContents(0, 1, null, Map.of(), versions));
        }
        return fromSegments(segments, versions);
    }

    private static Either<ReadError, LogContents> fromSegments(
            TreeMap<Long, Segment> segments, TreeMap<Long, Long> versions) {
        long lastSequence = segments.lastKey();
        long baseSequence = 1;
        for (Segment segment : segments.values()) {
            baseSequence = Math.max(baseSequence, segment.baseSequence());
        }
        Map<String, ClaimRecord> records = new HashMap<>();
        for (long sequence = baseSequence; sequence <= lastSequence; sequence++) {
            Segment segment = segments.get(sequence);
            if (segment == null) {
                return Either.left(ReadError.GAP);
            }
            segment.records().forEach(record -> records.put(record.digest(), record));
        }
        return Either.right(
                new LogContents(
                        lastSequence, baseSequence, segments.get(lastSequence), records, versions));
    }

    /** Reasons why a log cannot be read. */
    enum ReadError {
        /** An object key does not end with a sequence number. */
        KEY,
        /** A segment cannot be decoded. */
        SEGMENT,
        /** A segment between the base and the newest segment is missing. */
        GAP
    }
}
