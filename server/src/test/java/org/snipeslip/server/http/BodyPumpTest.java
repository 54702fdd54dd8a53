package org.snipeslip.server.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipeslip.core.instance.Event;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSinkChannel;

/** Guards against one endless body that keeps the only I/O thread from all other work. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class BodyPumpTest {
    private static final int MANY_BYTES = 16 << 20;

    private final List<String> calls = new ArrayList<>();
    private long written;
    private ChannelListener<? super StreamSinkChannel> writeListener;

    /** A body that always has more bytes, for a receiver that takes them all, ends its turn. */
    @ParameterizedTest
    @ValueSource(ints = {512, 8 * 1024, 16 * 1024})
    void returnsToTheSelectorAfterSomeBytes(int bufferBytes) {
        try (DefaultByteBufferPool buffers = new DefaultByteBufferPool(false, bufferBytes)) {
            new BodyPump(endlessSource(), sink(), buffers, new IgnoringListener()).start();

            for (int turn = 1; turn <= 10; turn++) {
                assertThat(written).isBetween(1L, turn * 256L * 1024);
                assertThat(calls).endsWith("suspend source", "resume sink");
                long before = written;
                writeListener.handleEvent(null);
                assertThat(written).isGreaterThan(before);
            }
        }
    }

    /** Other calls on the thread are answered while a fast caller reads an endless body. */
    @Test
    void otherCallsAreServedBesideAnEndlessBody() throws Exception {
        try (HttpFixture fixture = new HttpFixture(100, HttpDialect.SNIPESLIP, 1);
                RawSocket reader = fixture.call(HttpFixture.get("/endless"));
                RawSocket endless = fixture.backend.acceptRequest()) {
            CompletableFuture<Void> sender = CompletableFuture.runAsync(() -> send(endless));
            CompletableFuture<Void> receiver = CompletableFuture.runAsync(() -> receive(reader));
            fixture.engine.await(Event.TryAnswered.class);
            RawSocket caller = fixture.call(HttpFixture.get("/0"));
            RawSocket backend = fixture.backend.acceptRequest();
            for (int i = 1; i <= 20; i++) {
                backend.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                assertThat(caller.readHead()).startsWith("HTTP/1.1 200 ");
                assertThat(caller.read(2)).isEqualTo("ok");
                fixture.engine.await(Event.TryCompleted.class);
                caller.write(HttpFixture.get("/" + i));
                assertThat(backend.readHead()).startsWith("GET /" + i + " ");
            }
            assertThat(sender.isDone() || receiver.isDone()).isFalse();
        }
    }

    /** A body longer than a turn arrives whole, however fast both ends are. */
    @ParameterizedTest
    @CsvSource({"65535", "65536", "65537", "1000000"})
    void bodyLongerThanATurnArrivesWhole(int bytes) throws Exception {
        try (HttpFixture fixture = new HttpFixture(100, HttpDialect.SNIPESLIP, 1);
                RawSocket caller = fixture.call(HttpFixture.get("/"));
                RawSocket backend = fixture.backend.acceptRequest()) {
            String body = "z".repeat(bytes);
            CompletableFuture.runAsync(
                    () ->
                            write(
                                    backend,
                                    "HTTP/1.1 200 OK\r\nContent-Length: "
                                            + bytes
                                            + "\r\n\r\n"
                                            + body));
            caller.readHead();
            assertThat(caller.read(bytes)).isEqualTo(body);
            fixture.engine.await(Event.TryCompleted.class);
        }
    }

    private BodySource endlessSource() {
        return new BodySource() {
            @Override
            public int read(ByteBuffer into) {
                // Ends a pump that does not stop by itself.
                if (written > MANY_BYTES) {
                    return 0;
                }
                int count = into.remaining();
                into.position(into.limit());
                return count;
            }

            @Override
            public void onReadable(Runnable task) {}

            @Override
            public void resume() {
                calls.add("resume source");
            }

            @Override
            public void suspend() {
                calls.add("suspend source");
            }
        };
    }

    /** A sink that takes every byte. */
    private StreamSinkChannel sink() {
        return (StreamSinkChannel)
                Proxy.newProxyInstance(
                        StreamSinkChannel.class.getClassLoader(),
                        new Class<?>[] {StreamSinkChannel.class},
                        (proxy, method, arguments) ->
                                switch (method.getName()) {
                                    case "write" -> take((ByteBuffer) arguments[0]);
                                    case "getWriteSetter" -> setter();
                                    case "resumeWrites" -> calls.add("resume sink") ? null : null;
                                    default -> throw new AssertionError(method.getName());
                                });
    }

    private ChannelListener.Setter<StreamSinkChannel> setter() {
        return listener -> writeListener = listener;
    }

    private int take(ByteBuffer bytes) {
        int count = bytes.remaining();
        bytes.position(bytes.limit());
        written += count;
        return count;
    }

    private static void send(RawSocket endless) {
        write(endless, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        String chunks = ("200\r\n" + "x".repeat(0x200) + "\r\n").repeat(200);
        while (true) {
            write(endless, chunks);
        }
    }

    private static void receive(RawSocket reader) {
        byte[] buffer = new byte[1 << 16];
        try {
            while (reader.in().read(buffer) >= 0) {
                // Reads as fast as it can.
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static void write(RawSocket socket, String text) {
        try {
            socket.write(text);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** A listener of a pump that does not end. */
    private static final class IgnoringListener implements BodyPump.Listener {
        @Override
        public void completed() {
            throw new AssertionError("the body has no end");
        }

        @Override
        public void sourceFailed(IOException e) {
            throw new AssertionError(e);
        }

        @Override
        public void sinkFailed(IOException e) {
            throw new AssertionError(e);
        }
    }
}
