package org.snipeslip.server.runtime;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RequestDigest;
import org.snipeslip.core.suspect.SuspectMessage;
import org.snipeslip.core.suspect.SuspectQuestion;
import org.snipeslip.core.suspect.Suspicion;
import org.snipeslip.core.suspect.Verdict;

/** Encodes messages about suspected requests as query parameters, one message a line. */
final class SuspectCodec {
    private static final int MAX_LEVEL = 1_000;

    private SuspectCodec() {}

    static String encode(SuspectMessage message) {
        return switch (message) {
            case SuspectMessage.Report report ->
                    "kind=report&server="
                            + escape(report.server())
                            + "&"
                            + encode(report.suspicion());
            case SuspectMessage.Notice notice -> "kind=notice&" + encode(notice.suspicion());
            case SuspectMessage.Alert alert -> "kind=alert&" + encode(alert.homeRegions());
        };
    }

    static String encode(RegionId region) {
        return "region=" + escape(region.value());
    }

    static String encode(SuspectQuestion question) {
        return "digest=" + question.digest();
    }

    static String encode(Verdict verdict) {
        return switch (verdict) {
            case Verdict.Run run -> "kind=run&epoch=" + run.epoch() + "&level=" + run.level();
            case Verdict.RunAlone run ->
                    "kind=alone&epoch=" + run.epoch() + "&level=" + run.level();
            case Verdict.Refuse refuse -> "kind=refuse&retryMillis=" + refuse.retryAfterMillis();
        };
    }

    /**
     * Decodes a verdict.
     *
     * @throws MalformedSuspicionException if it is malformed
     */
    static Verdict decodeVerdict(String text) throws MalformedSuspicionException {
        Map<String, String> fields = fields(text);
        try {
            return switch (fields.getOrDefault("kind", "")) {
                case "run" -> new Verdict.Run(number(fields, "epoch"), level(fields));
                case "alone" -> new Verdict.RunAlone(number(fields, "epoch"), level(fields));
                case "refuse" -> new Verdict.Refuse(number(fields, "retryMillis"));
                default -> throw new IllegalArgumentException("no kind in " + text);
            };
        } catch (IllegalArgumentException e) {
            throw new MalformedSuspicionException("verdict: " + e.getMessage(), e);
        }
    }

    private static long number(Map<String, String> fields, String name) {
        return Long.parseLong(fields.getOrDefault(name, ""));
    }

    private static int level(Map<String, String> fields) {
        return Math.toIntExact(number(fields, "level"));
    }

    static String encodeAll(List<SuspectMessage> messages) {
        return messages.stream()
                .map(message -> encode(message) + "\n")
                .collect(Collectors.joining());
    }

    /**
     * Decodes a message.
     *
     * @param field returns the decoded value of a parameter, or an empty text
     * @throws MalformedSuspicionException if a field is missing or not what it should be
     */
    static SuspectMessage decode(Function<String, String> field)
            throws MalformedSuspicionException {
        return switch (field.apply("kind")) {
            case "report" ->
                    new SuspectMessage.Report(decodeSuspicion(field), field.apply("server"));
            case "notice" -> new SuspectMessage.Notice(decodeSuspicion(field));
            case "alert" -> new SuspectMessage.Alert(decodeHomes(field));
            default ->
                    throw new MalformedSuspicionException(
                            "kind: found "
                                    + field.apply("kind")
                                    + ", expected report, notice or alert",
                            null);
        };
    }

    /**
     * Decodes the region of an instance.
     *
     * @throws MalformedSuspicionException if there is none
     */
    static RegionId decodeRegion(Function<String, String> field)
            throws MalformedSuspicionException {
        try {
            return new RegionId(field.apply("region"));
        } catch (IllegalArgumentException e) {
            throw new MalformedSuspicionException("region is missing", e);
        }
    }

    /**
     * Decodes the digest in a question.
     *
     * @throws MalformedSuspicionException if it is malformed
     */
    static RequestDigest decodeDigest(Function<String, String> field)
            throws MalformedSuspicionException {
        try {
            return RequestDigest.parse(field.apply("digest"));
        } catch (NumberFormatException e) {
            throw new MalformedSuspicionException("digest: " + e.getMessage(), e);
        }
    }

    /**
     * Decodes what another instance has told.
     *
     * @throws MalformedSuspicionException if a line is malformed
     */
    static List<SuspectMessage> decodeAll(String text) throws MalformedSuspicionException {
        List<SuspectMessage> messages = new ArrayList<>();
        for (String line : text.lines().toList()) {
            Map<String, String> fields = fields(line);
            messages.add(decode(name -> fields.getOrDefault(name, "")));
        }
        return messages;
    }

    private static Map<String, String> fields(String line) throws MalformedSuspicionException {
        Map<String, String> fields = new HashMap<>();
        for (String pair : line.strip().split("&")) {
            int end = Math.max(0, pair.indexOf('='));
            fields.put(pair.substring(0, end), unescape(pair.substring(end + 1)));
        }
        return fields;
    }

    private static String encode(Set<RegionId> homeRegions) {
        return "homes="
                + escape(
                        homeRegions.stream()
                                .map(RegionId::value)
                                .sorted()
                                .collect(Collectors.joining(",")));
    }

    private static String encode(Suspicion suspicion) {
        return "digest="
                + suspicion.digest()
                + "&epoch="
                + suspicion.epoch()
                + "&level="
                + suspicion.level()
                + "&"
                + encode(suspicion.homeRegions());
    }

    private static Suspicion decodeSuspicion(Function<String, String> field)
            throws MalformedSuspicionException {
        try {
            long epoch = Long.parseLong(field.apply("epoch"));
            int level = Integer.parseInt(field.apply("level"));
            if (epoch < 0 || level < 0 || level > MAX_LEVEL) {
                throw new IllegalArgumentException("epoch " + epoch + ", level " + level);
            }
            return new Suspicion(
                    RequestDigest.parse(field.apply("digest")), epoch, level, decodeHomes(field));
        } catch (IllegalArgumentException e) {
            throw new MalformedSuspicionException("suspicion: " + e.getMessage(), e);
        }
    }

    private static Set<RegionId> decodeHomes(Function<String, String> field) {
        return Arrays.stream(field.apply("homes").split(","))
                .filter(home -> !home.isBlank())
                .map(RegionId::new)
                .collect(Collectors.toSet());
    }

    private static String escape(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private static String unescape(String text) throws MalformedSuspicionException {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw new MalformedSuspicionException("value: " + e.getMessage(), e);
        }
    }
}
