package org.snipeslip.server.runtime;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.snipeslip.core.id.RouteId;
import org.snipeslip.core.id.ServerVersion;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.core.rollout.RolloutReport;
import org.snipeslip.core.rollout.RolloutStep;
import org.snipeslip.core.rollout.VersionCounts;

/**
 * Encodes reports on rollouts as text: one line with the head, then one line for each counter.
 * Fields are separated by blanks, and names are escaped; an empty name is a minus sign. Zeros at
 * the end of the response times are left out.
 */
final class RolloutCodec {
    private static final String EMPTY = "-";
    private static final String SEPARATOR = " ";
    private static final int HEAD_FIELDS = 7;
    private static final int COUNTER_FIELDS = 5;

    /** More than an instance sends. */
    private static final int MAX_LINES = 2_000;

    private static final int MAX_LATENCIES = 64;

    private RolloutCodec() {}

    static String encode(RolloutReport report) {
        StringBuilder text = new StringBuilder();
        text.append(escape(report.service().value())).append(' ');
        text.append(escape(report.target().value())).append(' ');
        text.append(escape(report.instance())).append(' ');
        text.append(report.incarnation()).append(' ');
        text.append(report.sequence()).append(' ');
        text.append(report.step().name()).append(' ');
        text.append(report.elapsedMillis());
        for (VersionCounts counts : report.counts()) {
            text.append('\n').append(counts.onTarget() ? "new " : "old ");
            text.append(escape(counts.route().value())).append(' ');
            text.append(escape(counts.server())).append(' ');
            text.append(counts.answered()).append(' ').append(counts.failed());
            List<Long> latencies = counts.latencies();
            int size = latencies.size();
            while (size > 0 && latencies.get(size - 1) == 0) {
                size--;
            }
            latencies.subList(0, size).forEach(count -> text.append(' ').append(count));
        }
        return text.toString();
    }

    /**
     * Decodes a report.
     *
     * @throws MalformedReportException if a field is missing or invalid
     */
    static RolloutReport decodeReport(String text) throws MalformedReportException {
        try {
            List<String> lines = text.lines().limit(MAX_LINES).toList();
            if (lines.isEmpty()) {
                throw new IllegalArgumentException("no head");
            }
            String[] head = fields(lines.getFirst(), HEAD_FIELDS);
            List<VersionCounts> counts = new ArrayList<>();
            for (String line : lines.subList(1, lines.size())) {
                counts.add(decodeCounts(fields(line, COUNTER_FIELDS)));
            }
            return new RolloutReport(
                    new ServiceId(unescape(head[0])),
                    new ServerVersion(unescape(head[1])),
                    unescape(head[2]),
                    Long.parseLong(head[3]),
                    Long.parseLong(head[4]),
                    RolloutStep.valueOf(head[5]),
                    count(head[6]),
                    counts);
        } catch (IllegalArgumentException e) {
            throw new MalformedReportException("report: " + e.getMessage(), e);
        }
    }

    private static VersionCounts decodeCounts(String[] fields) {
        List<Long> latencies =
                Arrays.stream(fields)
                        .skip(COUNTER_FIELDS)
                        .limit(MAX_LATENCIES)
                        .map(RolloutCodec::count)
                        .collect(Collectors.toList());
        return new VersionCounts(
                fields[0].equals("new"),
                new RouteId(unescape(fields[1])),
                unescape(fields[2]),
                count(fields[3]),
                count(fields[4]),
                latencies);
    }

    private static long count(String text) {
        long count = Long.parseLong(text);
        if (count < 0) {
            throw new IllegalArgumentException("negative count " + text);
        }
        return count;
    }

    private static String[] fields(String line, int minFields) {
        String[] fields = line.split(SEPARATOR);
        if (fields.length < minFields) {
            throw new IllegalArgumentException(fields.length + " fields");
        }
        return fields;
    }

    /** Encodes the step that an instance has to follow; null if the order is not known. */
    static String encode(RolloutStep step) {
        return step == null ? EMPTY : step.name();
    }

    /**
     * Decodes a step.
     *
     * @return the step, or null if the other instance does not know the order
     * @throws MalformedReportException if it is none
     */
    static RolloutStep decodeStep(String text) throws MalformedReportException {
        try {
            return text.equals(EMPTY) ? null : RolloutStep.valueOf(text);
        } catch (IllegalArgumentException e) {
            throw new MalformedReportException("step: " + e.getMessage(), e);
        }
    }

    private static String escape(String text) {
        // A minus sign is not escaped by the encoder, and alone stands for an empty name.
        String escaped = URLEncoder.encode(text, StandardCharsets.UTF_8).replace("-", "%2D");
        return escaped.isEmpty() ? EMPTY : escaped;
    }

    private static String unescape(String text) {
        return text.equals(EMPTY) ? "" : URLDecoder.decode(text, StandardCharsets.UTF_8);
    }
}
