package org.snipeslip.server.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.xnio.conduits.StreamSourceConduit;

/** Guards against a parser that takes bytes of a body, or of no response, for those of a head. */
class ResponseConduitTest {
    private final List<String> calls = new ArrayList<>();
    private final ByteBuffer received = ByteBuffer.allocate(4_096);
    private final ResponseConduit conduit =
            new ResponseConduit(new ProgressLimit(connection(), 4_096));

    /** A head that a parser ends elsewhere than after an empty line is refused. */
    @ParameterizedTest
    @CsvSource({
        "'HTTP/1.1 200 OK\r\nA: b\r\n\r\n', 3, true",
        "'HTTP/1.1 200 OK\n\n', 2, true",
        "'HTTP/1.1 200 OK\r\nA: b\r\n\r\n', 2, false",
        "'HTTP/1.1 200 OK\r\nA: b', 2, false",
        "'HTTP/1.1 200 OK\r\n\r', 2, false",
    })
    void headEndsAfterAnEmptyLineOnly(String bytes, int reads, boolean accepted) throws Exception {
        receive(bytes);
        for (int i = 0; i < reads; i++) {
            read();
        }
        if (accepted) {
            conduit.headReceived(true);
        } else {
            assertThatThrownBy(() -> conduit.headReceived(true)).isInstanceOf(IOException.class);
        }
    }

    /** Bytes that follow a line are kept for the next read, and announced to its reader. */
    @Test
    void bytesAfterALineAreKeptAndAnnounced() throws Exception {
        receive("HTTP/1.1 200 OK\r\n\r\nbody");
        assertThat(read()).isEqualTo("HTTP/1.1 200 OK\r\n");
        assertThat(read()).isEqualTo("\r\n");
        conduit.headReceived(false);
        assertThat(conduit.holdsBytes()).isTrue();
        conduit.resumeReads();
        assertThat(calls).contains("wakeupReads").doesNotContain("resumeReads");
        assertThat(read()).isEqualTo("body");
        assertThat(conduit.holdsBytes()).isFalse();
        conduit.resumeReads();
        assertThat(calls).contains("resumeReads");
    }

    private void receive(String bytes) {
        received.put(bytes.getBytes(StandardCharsets.ISO_8859_1)).flip();
        conduit.requestSent();
    }

    private String read() throws IOException {
        ByteBuffer target = ByteBuffer.allocate(1_024);
        conduit.read(target);
        return StandardCharsets.ISO_8859_1.decode(target.flip()).toString();
    }

    private StreamSourceConduit connection() {
        return (StreamSourceConduit)
                Proxy.newProxyInstance(
                        StreamSourceConduit.class.getClassLoader(),
                        new Class<?>[] {StreamSourceConduit.class},
                        (proxy, method, arguments) -> {
                            calls.add(method.getName());
                            if (!method.getName().equals("read")) {
                                return null;
                            }
                            int count = received.remaining();
                            ((ByteBuffer) arguments[0]).put(received);
                            return count;
                        });
    }
}
