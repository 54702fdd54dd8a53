import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/** Stand-in for an upstream; it notes each request that it begins to run. */
final class Upstream implements AutoCloseable {
    /** What an upstream does with a request that it runs. */
    interface Work {
        /** Answers; returns whether the connection stays open. */
        boolean answer(Upstream upstream, Request request, OutputStream out)
                throws IOException, InterruptedException;
    }

    /** A request that was run. */
    record Request(Http.Head head, byte[] body, String id, String upstream, long atNanos) {}

    final String id;
    final String service;
    final String zone;
    final List<Request> runs = new CopyOnWriteArrayList<>();
    final AtomicInteger running = new AtomicInteger();
    private final ServerSocket listener;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final int slots;
    private final Work work;
    private volatile Function<Upstream, String> healthFields = upstream -> "";

    Upstream(String id, String service, String zone, int slots, Work work) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.work = work;
        listener = new ServerSocket(0, 1_000, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(this::accept);
    }

    /** Sets what its health answers say besides its id and load: whole lines. */
    void healthFields(Function<Upstream, String> fields) {
        healthFields = fields;
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Returns its entry in the store. */
    String entry(String state, long seq) {
        return entry(state, seq, 0);
    }

    String entry(String state, long seq, double warmupLeftS) {
        return ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
                        + "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
                        + "\"warmupLeftS\":%s,\"seq\":%d,\"born\":1700000000000}")
                .formatted(service, port(), zone, slots, state, warmupLeftS, seq);
    }

    /** Ends at once, with its connections; what it was running gets no answer. */
    void crash() throws IOException {
        listener.close();
        for (Socket each : connections) {
            each.setSoLinger(true, 0);
            each.close();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                connections.add(socket);
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
                if (head.target().equals("/health")) {
                    String fields =
                            "Instance-Id: " + id + "\r\n" + load() + healthFields.apply(this);
                    send(out, 200, fields, "");
                    continue;
                }
                String requestId = head.field("Request-Id");
                if (!id.equals(head.field("Expect-Instance"))) {
                    Http.readBody(in, head);
                    send(out, 421, "Not-Executed: 1\r\nInstance-Id: " + id + "\r\n", "");
                    continue;
                }
                byte[] body = Http.readBody(in, head);
                Request request = new Request(head, body, requestId, id, System.nanoTime());
                runs.add(request);
                running.incrementAndGet();
                boolean stays;
                try {
                    stays = work.answer(this, request, out);
                } finally {
                    running.decrementAndGet();
                }
                if (!stays) {
                    return;
                }
            }
        } catch (IOException | InterruptedException e) {
            // The caller has left.
        } finally {
            connections.remove(socket);
        }
    }

    String load() {
        return "Server-Load: " + Math.min(slots, running.get()) + ",0," + slots + "\r\n";
    }

    /** Sends the answer of a sound upstream. */
    boolean ok(Request request, OutputStream out, String body) throws IOException {
        send(
                out,
                200,
                "Request-Id: "
                        + request.id()
                        + "\r\nResponse-Signature: signed."
                        + request.id()
                        + "\r\n"
                        + load(),
                body);
        return true;
    }

    static void send(OutputStream out, int status, String fields, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head =
                "HTTP/1.1 "
                        + status
                        + " Answer\r\n"
                        + fields
                        + "Content-Length: "
                        + bytes.length
                        + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(bytes);
        out.flush();
    }
}
