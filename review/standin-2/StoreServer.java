import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in for the platform's store: kinds of named objects with one revision counter, lists in
 * pages, watches and the creation of objects. The program of a case writes the other objects.
 */
final class StoreServer implements AutoCloseable {
    private static final Pattern NAME = Pattern.compile("\"name\"\\s*:\\s*\"([^\"]+)\"");
    private static final int PAGE_OBJECTS = 500;
    private static final int PAGE_BYTES = 1 << 20;
    private static final long HISTORY_NANOS = 20_000_000_000L;

    private final ServerSocket listener;
    private final Map<String, TreeMap<String, Stored>> kinds = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 10;

    /** Revision up to which the history was discarded. */
    private long discardedRevision = 10;

    private boolean closed;

    StoreServer() throws IOException {
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Writes an object, whose content is JSON text. */
    synchronized void put(String kind, String name, String spec) {
        Stored stored = new Stored(name, ++revision, spec);
        kinds.computeIfAbsent(kind, key -> new TreeMap<>()).put(name, stored);
        history.add(new Event(kind, stored, false, System.nanoTime()));
        notifyAll();
    }

    synchronized void remove(String kind, String name) {
        Stored removed = kinds.computeIfAbsent(kind, key -> new TreeMap<>()).remove(name);
        if (removed != null) {
            Stored last = new Stored(name, ++revision, removed.spec);
            history.add(new Event(kind, last, true, System.nanoTime()));
            notifyAll();
        }
    }

    synchronized int count(String kind) {
        return kinds.getOrDefault(kind, new TreeMap<>()).size();
    }

    @Override
    public void close() throws IOException {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        listener.close();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Http.Head head;
            while ((head = Http.readHead(in)) != null) {
                byte[] body = Http.readBody(in, head);
                Reply reply = handle(head, new String(body, StandardCharsets.UTF_8));
                byte[] text = reply.body.getBytes(StandardCharsets.UTF_8);
                String status =
                        "HTTP/1.1 "
                                + reply.status
                                + " Reply\r\nContent-Type: application/json\r\nContent-Length: "
                                + text.length
                                + "\r\n\r\n";
                out.write(status.getBytes(StandardCharsets.US_ASCII));
                out.write(text);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The caller has left.
        }
    }

    private Reply handle(Http.Head head, String body) throws InterruptedException {
        String[] target = head.target().split("\\?", 2);
        String[] path = target[0].split("/");
        String kind = path[3];
        Map<String, String> query = query(target.length > 1 ? target[1] : "");
        if (head.method().equals("POST")) {
            Matcher name = NAME.matcher(body);
            if (!name.find()) {
                return new Reply(400, "{}");
            }
            synchronized (this) {
                if (kinds.getOrDefault(kind, new TreeMap<>()).containsKey(name.group(1))) {
                    return new Reply(409, "{}");
                }
                put(kind, name.group(1), specOf(body));
                return new Reply(201, "{}");
            }
        }
        if (!head.method().equals("GET")) {
            return new Reply(404, "{}");
        }
        return query.containsKey("watch") ? watch(kind, query) : list(kind, query);
    }

    /** Returns the JSON object that follows the name "spec". */
    private static String specOf(String body) {
        int start = body.indexOf('{', body.indexOf("\"spec\""));
        int depth = 0;
        for (int i = start; i < body.length(); i++) {
            depth += body.charAt(i) == '{' ? 1 : body.charAt(i) == '}' ? -1 : 0;
            if (depth == 0) {
                return body.substring(start, i + 1);
            }
        }
        return "{}";
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new TreeMap<>();
        for (String part : text.split("&")) {
            String[] pair = part.split("=", 2);
            if (pair.length == 2) {
                query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private synchronized Reply list(String kind, Map<String, String> query) {
        String after = query.getOrDefault("after", "");
        StringBuilder items = new StringBuilder();
        int objects = 0;
        boolean more = false;
        TreeMap<String, Stored> all = kinds.getOrDefault(kind, new TreeMap<>());
        for (Stored each : all.tailMap(after, false).values()) {
            String json = each.json();
            if (objects > 0
                    && (objects == PAGE_OBJECTS || items.length() + json.length() > PAGE_BYTES)) {
                more = true;
                break;
            }
            items.append(objects++ == 0 ? "" : ",").append(json);
        }
        return new Reply(
                200,
                "{\"items\":["
                        + items
                        + "],\"more\":"
                        + more
                        + ",\"currentRev\":"
                        + revision
                        + "}");
    }

    private synchronized Reply watch(String kind, Map<String, String> query)
            throws InterruptedException {
        long from = Long.parseLong(query.get("watch"));
        long endNanos =
                System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        while (true) {
            discardHistory();
            if (from < discardedRevision) {
                return new Reply(410, "{}");
            }
            StringBuilder events = new StringBuilder();
            for (Event each : history) {
                if (each.kind.equals(kind) && each.object.revision > from) {
                    events.append(events.isEmpty() ? "" : ",").append(each.json());
                }
            }
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMillis <= 0 || closed) {
                return new Reply(
                        200, "{\"events\":[" + events + "],\"currentRev\":" + revision + "}");
            }
            wait(leftMillis);
        }
    }

    /** Discards what is older than the history that the settings name. */
    private void discardHistory() {
        long oldestNanos = System.nanoTime() - HISTORY_NANOS;
        while (!history.isEmpty() && history.getFirst().atNanos - oldestNanos < 0) {
            discardedRevision = history.removeFirst().object.revision;
        }
    }

    private record Reply(int status, String body) {}

    private record Stored(String name, long revision, String spec) {
        String json() {
            return "{\"metadata\":{\"name\":\""
                    + name
                    + "\",\"revision\":"
                    + revision
                    + ",\"created\":1,\"finalizers\":[],\"deletionPending\":false},\"spec\":"
                    + spec
                    + ",\"status\":null}";
        }
    }

    private record Event(String kind, Stored object, boolean deleted, long atNanos) {
        String json() {
            return "{\"object\":" + object.json() + ",\"deleted\":" + deleted + "}";
        }
    }
}
