package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Stand-in for the platform's store: lists, watches and creates objects, always up to date. */
final class Store extends Listener {
    /** The store lists about 1 MB at most in one answer. */
    private static final int PAGE_BYTES = 1 << 20;

    private static final Pattern NAME = Pattern.compile("\"name\"\\s*:\\s*\"([^\"]+)\"");

    private final Map<String, TreeMap<String, String>> kinds = new HashMap<>();
    private final List<Event> events = new ArrayList<>();
    private long revision = 100;

    Store() throws IOException {}

    /** Writes an object; returns when the store has accepted it. */
    synchronized void put(String kind, String name, String spec) {
        revision++;
        String object = object(name, spec);
        kinds.computeIfAbsent(kind, key -> new TreeMap<>()).put(name, object);
        events.add(new Event(revision, kind, object, false));
        notifyAll();
    }

    synchronized void delete(String kind, String name) {
        revision++;
        kinds.get(kind).remove(name);
        events.add(new Event(revision, kind, object(name, "{}"), true));
        notifyAll();
    }

    @Override
    boolean handle(Http.Head head, InputStream in, OutputStream out) throws IOException {
        String body = new String(Http.readBody(in, head, false), StandardCharsets.UTF_8);
        String[] target = head.target().split("\\?", 2);
        String kind = target[0].split("/")[3];
        Map<String, String> query = new HashMap<>();
        if (target.length > 1) {
            for (String parameter : target[1].split("&")) {
                query.put(parameter.split("=")[0], parameter.split("=")[1]);
            }
        }
        int status = 200;
        String answer;
        if (head.method().equals("POST")) {
            Matcher name = NAME.matcher(body);
            status = name.find() && create(kind, name.group(1), specOf(body)) ? 201 : 409;
            answer = "{}";
        } else if (query.containsKey("watch")) {
            long waitMillis = Long.parseLong(query.getOrDefault("waitMs", "0"));
            answer = watch(kind, Long.parseLong(query.get("watch")), waitMillis);
        } else {
            answer = list(kind, query.getOrDefault("after", ""));
        }
        // One byte a character, so that an entry can hold any bytes.
        byte[] bytes = answer.getBytes(StandardCharsets.ISO_8859_1);
        String first = "HTTP/1.1 " + status + " -\r\nContent-Type: application/json\r\n";
        out.write((first + "Content-Length: " + bytes.length + "\r\n\r\n").getBytes());
        out.write(bytes);
        out.flush();
        return true;
    }

    private synchronized boolean create(String kind, String name, String spec) {
        if (kinds.computeIfAbsent(kind, key -> new TreeMap<>()).containsKey(name)) {
            return false;
        }
        put(kind, name, spec);
        return true;
    }

    private synchronized String list(String kind, String after) {
        StringBuilder items = new StringBuilder();
        boolean more = false;
        for (String object :
                kinds.getOrDefault(kind, new TreeMap<>()).tailMap(after, false).values()) {
            more = items.length() > 0 && items.length() + object.length() > PAGE_BYTES;
            if (more) {
                break;
            }
            items.append(items.length() > 0 ? "," : "").append(object);
        }
        return "{\"items\":[" + items + "],\"more\":" + more + ",\"currentRev\":" + revision + "}";
    }

    private synchronized String watch(String kind, long since, long waitMillis) {
        long endNanos = System.nanoTime() + waitMillis * 1_000_000;
        List<Event> found;
        long leftMillis;
        try {
            while ((found = since(kind, since)).isEmpty()
                    && (leftMillis = (endNanos - System.nanoTime()) / 1_000_000) > 0) {
                wait(leftMillis);
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        return "{\"events\":["
                + found.stream()
                        .map(e -> "{\"deleted\":" + e.deleted + ",\"object\":" + e.object + "}")
                        .collect(Collectors.joining(","))
                + "],\"currentRev\":"
                + revision
                + "}";
    }

    private List<Event> since(String kind, long since) {
        return events.stream().filter(e -> e.revision > since && e.kind.equals(kind)).toList();
    }

    private String object(String name, String spec) {
        return String.format(
                "{\"metadata\":{\"name\":\"%s\",\"revision\":%d,\"created\":9,\"finalizers\":[],"
                        + "\"deletionPending\":false},\"spec\":%s,\"status\":null}",
                name, revision, spec);
    }

    private static String specOf(String body) {
        int start = body.indexOf('{', body.indexOf("\"spec\""));
        return body.substring(start, body.indexOf('}', start) + 1);
    }

    private record Event(long revision, String kind, String object, boolean deleted) {}
}
