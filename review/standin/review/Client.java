package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One connection of a client. */
final class Client implements AutoCloseable {
    private static final int CONNECT_MILLIS = 1_000;

    private final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    Client(int port, int readMillis) throws IOException {
        socket.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_MILLIS);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(readMillis);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    /** Returns the head of a request, up to its last field. */
    static String head(String method, String target, String requestId, long deadlineMillis) {
        return method
                + " "
                + target
                + " HTTP/1.1\r\nHost: "
                + Deployment.HOST
                + "\r\nRequest-Id: "
                + requestId
                + "\r\nDeadline-Ms: "
                + deadlineMillis
                + "\r\n";
    }

    void send(String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Reads a complete answer; throws if it ends early. */
    Answer read() throws IOException {
        Http.Head head = Http.readHead(in);
        if (head == null) {
            throw new IOException("connection closed without an answer");
        }
        byte[] body = Http.readBody(in, head, true);
        return new Answer(head, new String(body, StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** A complete answer. */
    record Answer(Http.Head head, String body) {
        int status() {
            return head.status();
        }
    }
}
