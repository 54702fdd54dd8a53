package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Strict reader of HTTP/1.1 messages; any fault of the framing is an {@link IOException}. */
final class Http {
    private static final int MAX_LINE_BYTES = 65_536;

    private Http() {}

    /** Reads the head of a message, or returns null if the connection ends before it. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in, true);
        if (first == null) {
            return null;
        }
        List<String> fields = new ArrayList<>();
        String line;
        while (!(line = readLine(in, false)).isEmpty()) {
            fields.add(line);
        }
        return new Head(first, fields);
    }

    /** Reads a body; one without a length ends with the connection if that is allowed. */
    static byte[] readBody(InputStream in, Head head, boolean untilClose) throws IOException {
        if ("chunked".equalsIgnoreCase(head.field("Transfer-Encoding"))) {
            return readChunks(in);
        }
        String length = head.field("Content-Length");
        if (length != null) {
            return readExactly(in, Integer.parseInt(length));
        }
        return untilClose ? in.readAllBytes() : new byte[0];
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine(in, false);
            int bytes;
            try {
                bytes = Integer.parseInt(size, 16);
            } catch (NumberFormatException e) {
                throw new IOException("malformed chunk size: " + size);
            }
            if (bytes == 0) {
                while (!readLine(in, false).isEmpty()) {
                    // Trailers are of no interest.
                }
                return body.toByteArray();
            }
            body.write(readExactly(in, bytes));
            if (!readLine(in, false).isEmpty()) {
                throw new IOException("no line end after a chunk");
            }
        }
    }

    private static byte[] readExactly(InputStream in, int bytes) throws IOException {
        byte[] read = in.readNBytes(bytes);
        if (read.length < bytes) {
            throw new EOFException("body ends after " + read.length + " of " + bytes + " bytes");
        }
        return read;
    }

    private static String readLine(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b;
        while ((b = in.read()) != '\n') {
            if (b < 0) {
                if (mayEnd && line.size() == 0) {
                    return null;
                }
                throw new EOFException("connection ends within a line");
            }
            if (line.size() > MAX_LINE_BYTES) {
                throw new IOException("line too long");
            }
            line.write(b);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    /** First line and header fields of a message. */
    record Head(String first, List<String> fields) {
        String field(String name) {
            String prefix = name.toLowerCase(Locale.ROOT) + ":";
            for (String field : fields) {
                if (field.toLowerCase(Locale.ROOT).startsWith(prefix)) {
                    return field.substring(prefix.length()).strip();
                }
            }
            return null;
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }
}
