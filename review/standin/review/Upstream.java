package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for a sound upstream; a case may take over what happens once a request is read. */
class Upstream extends Listener {
    static final String HEALTH_PATH = "/health";

    final String id;
    final String service;
    final String zone;
    final AtomicInteger running = new AtomicInteger();
    final AtomicInteger total = new AtomicInteger();
    private final int slots;

    /** Set before the first request. */
    Record record;

    Upstream(String id, String service, String zone, int slots) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
    }

    /** Returns the entry in the store. */
    String spec(String state, int seq) {
        return String.format(
                "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
                        + "\"slots\":%d,\"state\":\"%s\",\"warmupLeftS\":0,\"seq\":%d,\"born\":1}",
                service, address(), zone, slots, state, seq);
    }

    @Override
    final boolean handle(Http.Head head, InputStream in, OutputStream out) throws IOException {
        if (head.target().equals(HEALTH_PATH)) {
            send(out, 200, "Instance-Id: " + id + "\r\n", "");
            return true;
        }
        String expected = head.field("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            Http.readBody(in, head, false);
            send(out, 421, "Not-Executed: 1\r\nInstance-Id: " + id + "\r\n", "");
            return true;
        }
        if (head.field("Request-Id") == null) {
            Http.readBody(in, head, false);
            send(out, 400, "Not-Executed: 1\r\n", "");
            return true;
        }
        record.add("upstream %s begins to run %s", id, head.field("Request-Id"));
        return run(head, in, out);
    }

    /** Reads the body and runs the request; returns false if the connection is to be closed. */
    boolean run(Http.Head head, InputStream in, OutputStream out) throws IOException {
        byte[] body = Http.readBody(in, head, false);
        running.incrementAndGet();
        total.incrementAndGet();
        try {
            work(head, body);
        } finally {
            running.decrementAndGet();
        }
        send(
                out,
                200,
                "Request-Id: " + head.field("Request-Id") + "\r\nResponse-Signature: s.1\r\n",
                answer(head));
        return true;
    }

    /** Called while a request runs. */
    void work(Http.Head head, byte[] body) throws IOException {}

    String answer(Http.Head head) {
        return "done " + head.field("Request-Id");
    }

    final String load() {
        return "Server-Load: " + running.get() + ",0," + slots + ",100\r\n";
    }

    final void send(OutputStream out, int status, String fields, String body) throws IOException {
        String first = "HTTP/1.1 " + status + " -\r\n";
        String length = "Content-Length: " + body.length() + "\r\n\r\n";
        out.write((first + fields + load() + length + body).getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
