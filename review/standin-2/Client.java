import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One connection of a client. */
final class Client implements AutoCloseable {
    final Socket socket;
    final InputStream in;

    Client(int port) throws IOException {
        socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** The answer to a request; the status is 0 if the connection ended without a whole one. */
    record Answer(int status, Http.Head head, String body, String note) {}

    static String head(String method, String path, String id, long deadlineMillis, String more) {
        return method
                + " "
                + path
                + " HTTP/1.1\r\nHost: app.example\r\nRequest-Id: "
                + id
                + "\r\nDeadline-Ms: "
                + deadlineMillis
                + "\r\n"
                + more
                + "\r\n";
    }

    void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    Answer read(long limitMillis) {
        try {
            socket.setSoTimeout((int) limitMillis);
            Http.Head head = Http.readHead(in);
            if (head == null) {
                return new Answer(0, null, "", "closed without an answer");
            }
            byte[] body;
            if (head.field("Content-Length") == null && head.field("Transfer-Encoding") == null) {
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                in.transferTo(all);
                body = all.toByteArray();
            } else {
                body = Http.readBody(in, head);
            }
            return new Answer(
                    head.status(), head, new String(body, StandardCharsets.ISO_8859_1), "");
        } catch (IOException | RuntimeException e) {
            return new Answer(0, null, "", e.toString());
        }
    }

    /** Sends one request on a new connection and reads its answer. */
    static Answer call(
            int port, String method, String path, String id, long deadlineMillis, String body) {
        try (Client client = new Client(port)) {
            String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
            client.write(head(method, path, id, deadlineMillis, length) + body);
            return client.read(deadlineMillis + 2_000);
        } catch (IOException e) {
            return new Answer(0, null, "", e.toString());
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
