package org.snipeslip.server.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A socket that a test reads and writes as raw bytes, so that it can violate the protocol. */
final class RawSocket implements AutoCloseable {
    /** Ends a hanging test; no assertion depends on this value. */
    static final int TEST_TIMEOUT_MILLIS = 20_000;

    private final Socket socket;
    private final InputStream in;

    RawSocket(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(TEST_TIMEOUT_MILLIS);
        socket.setTcpNoDelay(true);
        in = socket.getInputStream();
    }

    static RawSocket connect(int port) throws IOException {
        return new RawSocket(new Socket("127.0.0.1", port));
    }

    RawSocket write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
        return this;
    }

    /** Reads a head up to and including its terminating empty line. */
    String readHead() throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                throw new IOException(
                        "the peer closed the connection within a head, after: " + head);
            }
            head.append((char) b);
        }
        return head.toString();
    }

    String read(int bytes) throws IOException {
        return new String(in.readNBytes(bytes), StandardCharsets.ISO_8859_1);
    }

    /** Reads until the peer closes or resets the connection. */
    Rest readRest() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        boolean reset = false;
        try {
            byte[] part = new byte[8 * 1024];
            int count;
            while ((count = in.read(part)) >= 0) {
                bytes.write(part, 0, count);
            }
        } catch (SocketException e) {
            reset = true;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new Rest(bytes.toString(StandardCharsets.ISO_8859_1), reset);
    }

    InputStream in() {
        return in;
    }

    /** Ends the stream towards the peer, and leaves the other direction open. */
    void endOutput() throws IOException {
        socket.shutdownOutput();
    }

    /** Closes the connection with a TCP reset. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** The text received before the peer closed, and whether it closed with a reset. */
    record Rest(String text, boolean reset) {
        private static final Pattern LENGTH = Pattern.compile("(?i)\r\ncontent-length: *(\\d+)");
        private static final Pattern CHUNKED =
                Pattern.compile("(?i)\r\ntransfer-encoding: *chunked");

        /** Returns whether the text is one response that its recipient takes for complete. */
        boolean isCompleteResponse() {
            int end = text.indexOf("\r\n\r\n");
            if (end < 0) {
                return false;
            }
            String head = text.substring(0, end);
            if (CHUNKED.matcher(head).find()) {
                return text.endsWith("\r\n0\r\n\r\n");
            }
            Matcher length = LENGTH.matcher(head);
            return length.find()
                    ? Integer.parseInt(length.group(1)) == text.length() - end - 4
                    : !reset;
        }
    }
}
