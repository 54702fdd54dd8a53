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
import org.junit.jupiter.params.provider.EnumSource;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/** Guards against a parser that takes bytes of a body, or of no response, for those of a head. */
class ResponseConduitTest {
    private static final String RESET = "Connection reset by peer";

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

    /** The end of the stream after a failed write may be that of a reset, which the write took. */
    @ParameterizedTest
    @EnumSource(Write.class)
    void endAfterFailedWriteIsNotTheEndOfAResponse(Write write) throws Exception {
        RequestConduit requests = new RequestConduit(brokenConnection(), conduit);
        receive("HTTP/1.1 200 OK\r\n\r\npart");
        read();
        read();
        conduit.headReceived(false);
        assertThatThrownBy(() -> write.operation.run(requests)).hasMessage(RESET);
        assertThat(read()).isEqualTo("part");
        assertThatThrownBy(this::read).isInstanceOf(IOException.class).hasRootCauseMessage(RESET);
    }

    /** Without a failed write, the end of the stream is the end of a response. */
    @Test
    void endWithoutFailedWriteIsTheEndOfAResponse() throws Exception {
        receive("HTTP/1.1 200 OK\r\n\r\nall");
        read();
        read();
        conduit.headReceived(false);
        assertThat(read()).isEqualTo("all");
        assertThat(conduit.read(ByteBuffer.allocate(1))).isEqualTo(-1);
    }

    /** The operations that write to a connection. */
    private enum Write {
        BUFFER(sink -> sink.write(ByteBuffer.allocate(1))),
        BUFFERS(sink -> sink.write(new ByteBuffer[] {ByteBuffer.allocate(1)}, 0, 1)),
        LAST_BUFFER(sink -> sink.writeFinal(ByteBuffer.allocate(1))),
        LAST_BUFFERS(sink -> sink.writeFinal(new ByteBuffer[] {ByteBuffer.allocate(1)}, 0, 1)),
        FILE(sink -> sink.transferFrom(null, 0, 1)),
        CHANNEL(sink -> sink.transferFrom(null, 1, ByteBuffer.allocate(1))),
        FLUSH(StreamSinkConduit::flush);

        private final Operation operation;

        Write(Operation operation) {
            this.operation = operation;
        }

        /** One operation on a connection. */
        private interface Operation {
            void run(StreamSinkConduit sink) throws IOException;
        }
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
                            int count = received.hasRemaining() ? received.remaining() : -1;
                            ((ByteBuffer) arguments[0]).put(received);
                            return count;
                        });
    }

    private static StreamSinkConduit brokenConnection() {
        return (StreamSinkConduit)
                Proxy.newProxyInstance(
                        StreamSinkConduit.class.getClassLoader(),
                        new Class<?>[] {StreamSinkConduit.class},
                        (proxy, method, arguments) -> {
                            throw new IOException(RESET);
                        });
    }
}
