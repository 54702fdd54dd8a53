package org.snipeslip.server.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.xnio.OptionMap;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Guards against responses that are kept in memory and never end. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class SimpleHttpClientTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "'HTTP/1.1 200 OK\r\n\r\n'; '{\"a\":1}'",
                "'HTTP/1.1 200 OK\r\nA: '; 'bbbb'",
                "'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'; '4\r\nabcd\r\n'",
            })
    void failsEndlessResponse(String start, String repeated) throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.EMPTY);
        try (FakeBackend backend = new FakeBackend();
                DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, 16 * 1024)) {
            SimpleHttpClient client = new SimpleHttpClient(worker.getIoThread(), buffers);
            CompletableFuture<IOException> failure = new CompletableFuture<>();
            URI origin = URI.create("http://" + BackendConnectionPool.authority(backend.server(1)));
            client.send(
                    new SimpleHttpRequest(origin, "GET", "/", Map.of(), ""),
                    30_000,
                    new SimpleHttpListener() {
                        @Override
                        public void responseReceived(
                                int status, UnaryOperator<String> header, String body) {
                            failure.complete(null);
                        }

                        @Override
                        public void failed(boolean sent, IOException cause) {
                            failure.complete(cause);
                        }
                    });
            RawSocket connection = backend.acceptRequest();
            Thread.ofVirtual().start(() -> writeWithoutEnd(connection, start, repeated));

            assertThat(failure.get(30, TimeUnit.SECONDS))
                    .hasMessageNotContaining("time limit")
                    .isInstanceOf(IOException.class);
        } finally {
            worker.shutdownNow();
        }
    }

    private static void writeWithoutEnd(RawSocket connection, String start, String repeated) {
        try (connection) {
            connection.write(start);
            while (true) {
                connection.write(repeated.repeat(100));
            }
        } catch (IOException e) {
            // The client has closed the connection.
        }
    }
}
