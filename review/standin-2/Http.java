import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
    private Http() {}

    /**
     * The head of a message.
     *
     * @param first its first line
     * @param fields header fields by lower-case name
     */
    record Head(String first, Map<String, String> fields) {
        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String field(String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** Returns the next head, or null if the connection has ended before it. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        String line;
        while (!(line = required(readLine(in))).isEmpty()) {
            int colon = line.indexOf(':');
            fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return new Head(first, fields);
    }

    /** Reads a body that has a length or comes in chunks. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        if ("chunked".equalsIgnoreCase(head.field("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            int size;
            while ((size = Integer.parseInt(required(readLine(in)).split(";")[0].trim(), 16)) > 0) {
                body.write(readFully(in, size));
                readLine(in);
            }
            while (!required(readLine(in)).isEmpty()) {
                continue;
            }
            return body.toByteArray();
        }
        String length = head.field("Content-Length");
        return length == null ? new byte[0] : readFully(in, Integer.parseInt(length));
    }

    static byte[] readFully(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the connection ended within a body");
        }
        return bytes;
    }

    private static String required(String line) throws EOFException {
        if (line == null) {
            throw new EOFException("the connection ended within a message");
        }
        return line;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b;
        while ((b = in.read()) >= 0) {
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
        if (line.size() > 0) {
            throw new EOFException("the connection ended within a line");
        }
        return null;
    }
}
