package org.snipeslip.core.idempotency;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.instance.RecordableAnswer;
import org.snipeslip.core.peer.ClaimMessage;

/** Encodes segments as text: a header line, then one line of percent-encoded fields per record. */
final class SegmentCodec {
    private static final String VERSION = "1";
    private static final String SEPARATOR = "\t";
    private static final int HEADER_FIELDS = 7;
    private static final int RECORD_FIELDS = 10;

    private SegmentCodec() {}

    static String encode(Segment segment) {
        Segment.WriteId writeId = segment.writeId();
        StringBuilder text = new StringBuilder(128 * (1 + segment.records().size()));
        text.append(
                String.join(
                        SEPARATOR,
                        VERSION,
                        segment.kind().name(),
                        FieldEscaper.escape(writeId.instance().value()),
                        Long.toString(writeId.incarnation()),
                        Long.toString(writeId.writeNumber()),
                        Long.toString(segment.baseSequence()),
                        Integer.toString(segment.records().size())));
        for (ClaimRecord record : segment.records()) {
            text.append('\n').append(encode(record));
        }
        return text.toString();
    }

    static String encode(ClaimRecord record) {
        RecordableAnswer answer = record.answer();
        return String.join(
                SEPARATOR,
                FieldEscaper.escape(record.digest()),
                FieldEscaper.escape(record.fingerprint()),
                FieldEscaper.escape(record.grantedClaim().instance().value()),
                Long.toString(record.grantedClaim().incarnation()),
                Long.toString(record.grantedClaim().number()),
                record.state().name(),
                Integer.toString(answer.status()),
                FieldEscaper.escape(answer.contentType()),
                answer.bodyKept() ? "1" : "0",
                FieldEscaper.escape(answer.body()));
    }

    static Either<DecodeError, Segment> decode(String text) {
        String[] lines = text.split("\n", -1);
        String[] header = lines[0].split(SEPARATOR, -1);
        if (header.length != HEADER_FIELDS || !header[0].equals(VERSION)) {
            return Either.left(DecodeError.HEAD);
        }
        try {
            if (Integer.parseInt(header[6]) != lines.length - 1) {
                return Either.left(DecodeError.RECORD_COUNT);
            }
            List<ClaimRecord> records = new ArrayList<>(lines.length);
            for (int i = 1; i < lines.length; i++) {
                String[] fields = lines[i].split(SEPARATOR, -1);
                if (fields.length != RECORD_FIELDS) {
                    return Either.left(DecodeError.RECORD);
                }
                records.add(record(fields));
            }
            return Either.right(segment(header, records));
        } catch (IllegalArgumentException e) {
            return Either.left(DecodeError.FIELD);
        }
    }

    private static Segment segment(String[] header, List<ClaimRecord> records) {
        Segment.WriteId writeId =
                new Segment.WriteId(
                        new InstanceId(FieldEscaper.unescape(header[2])),
                        Long.parseLong(header[3]),
                        Long.parseLong(header[4]));
        return new Segment(
                Segment.Kind.valueOf(header[1]), writeId, Long.parseLong(header[5]), records);
    }

    private static ClaimRecord record(String[] fields) {
        ClaimId grantedClaim =
                new ClaimId(
                        new InstanceId(FieldEscaper.unescape(fields[2])),
                        Long.parseLong(fields[3]),
                        Long.parseLong(fields[4]));
        RecordableAnswer answer =
                new RecordableAnswer(
                        Integer.parseInt(fields[6]),
                        FieldEscaper.unescape(fields[7]),
                        FieldEscaper.unescape(fields[9]),
                        fields[8].equals("1"));
        return new ClaimRecord(
                FieldEscaper.unescape(fields[0]),
                FieldEscaper.unescape(fields[1]),
                grantedClaim,
                ClaimMessage.ClaimState.valueOf(fields[5]),
                answer);
    }

    /** Reasons why a text is not a valid segment. */
    enum DecodeError {
        /** The header line has an unknown format or version. */
        HEAD,
        /** The header states a different number of records. */
        RECORD_COUNT,
        /** A record line has a wrong number of fields. */
        RECORD,
        /** A field cannot be parsed. */
        FIELD
    }
}
