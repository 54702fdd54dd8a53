package org.snipeslip.core.once;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.instance.RecordableAnswer;
import org.snipeslip.core.peer.ClaimMessage;

/** Text form of segments: a head line, then one line of percent-encoded fields per record. */
final class SegmentCodec {
    private static final String VERSION = "1";
    private static final String SEPARATOR = "\t";
    private static final int HEAD_FIELDS = 7;
    private static final int RECORD_FIELDS = 10;

    private SegmentCodec() {}

    static String encode(Segment segment) {
        Segment.Writer writer = segment.writer();
        StringBuilder text = new StringBuilder(128 * (1 + segment.records().size()));
        text.append(
                String.join(
                        SEPARATOR,
                        VERSION,
                        segment.kind().name(),
                        Fields.escape(writer.instance().value()),
                        Long.toString(writer.incarnation()),
                        Long.toString(writer.writeNumber()),
                        Long.toString(segment.base()),
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
                Fields.escape(record.digest()),
                Fields.escape(record.fingerprint()),
                Fields.escape(record.grantee().instance().value()),
                Long.toString(record.grantee().incarnation()),
                Long.toString(record.grantee().claim()),
                record.end().name(),
                Integer.toString(answer.status()),
                Fields.escape(answer.contentType()),
                answer.bodyKept() ? "1" : "0",
                Fields.escape(answer.body()));
    }

    static Either<Fault, Segment> decode(String text) {
        String[] lines = text.split("\n", -1);
        String[] head = lines[0].split(SEPARATOR, -1);
        if (head.length != HEAD_FIELDS || !head[0].equals(VERSION)) {
            return Either.left(Fault.HEAD);
        }
        try {
            if (Integer.parseInt(head[6]) != lines.length - 1) {
                return Either.left(Fault.RECORD_COUNT);
            }
            List<ClaimRecord> records = new ArrayList<>(lines.length);
            for (int i = 1; i < lines.length; i++) {
                String[] fields = lines[i].split(SEPARATOR, -1);
                if (fields.length != RECORD_FIELDS) {
                    return Either.left(Fault.RECORD);
                }
                records.add(record(fields));
            }
            return Either.right(segment(head, records));
        } catch (IllegalArgumentException e) {
            return Either.left(Fault.FIELD);
        }
    }

    private static Segment segment(String[] head, List<ClaimRecord> records) {
        Segment.Writer writer =
                new Segment.Writer(
                        new InstanceId(Fields.unescape(head[2])),
                        Long.parseLong(head[3]),
                        Long.parseLong(head[4]));
        return new Segment(Segment.Kind.valueOf(head[1]), writer, Long.parseLong(head[5]), records);
    }

    private static ClaimRecord record(String[] fields) {
        Grantee grantee =
                new Grantee(
                        new InstanceId(Fields.unescape(fields[2])),
                        Long.parseLong(fields[3]),
                        Long.parseLong(fields[4]));
        RecordableAnswer answer =
                new RecordableAnswer(
                        Integer.parseInt(fields[6]),
                        Fields.unescape(fields[7]),
                        Fields.unescape(fields[9]),
                        fields[8].equals("1"));
        return new ClaimRecord(
                Fields.unescape(fields[0]),
                Fields.unescape(fields[1]),
                grantee,
                ClaimMessage.End.valueOf(fields[5]),
                answer);
    }

    /** Why a text is no segment. */
    enum Fault {
        /** The head line has another form or version. */
        HEAD,
        /** The head names another number of records. */
        RECORD_COUNT,
        /** A record line has another number of fields. */
        RECORD,
        /** A field cannot be read. */
        FIELD
    }
}
