package org.snipeslip.server.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.FailureDomainId;

/** A backend server whose connections the test reads and writes as raw bytes. */
final class FakeBackend implements AutoCloseable {
    private final ServerSocket listener;

    FakeBackend() throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        listener.setSoTimeout(RawSocket.TEST_TIMEOUT_MILLIS);
    }

    RawSocket accept() throws IOException {
        return new RawSocket(listener.accept());
    }

    /** Accepts a connection, reads a request head and returns the connection. */
    RawSocket acceptRequest() throws IOException {
        RawSocket connection = accept();
        connection.readHead();
        return connection;
    }

    /** Responds to each request with its target, on any number of connections, until closed. */
    Thread startRespondingWithTargets() {
        return Thread.ofVirtual()
                .start(
                        () -> {
                            try {
                                while (true) {
                                    RawSocket connection = accept();
                                    Thread.ofVirtual().start(() -> respondWithTargets(connection));
                                }
                            } catch (IOException e) {
                                // The listener or connection was closed at the end of the test.
                            }
                        });
    }

    static void respondWithTargets(RawSocket connection) {
        try {
            while (true) {
                String target = connection.readHead().split(" ")[1];
                connection.write(
                        "HTTP/1.1 200 OK\r\nContent-Length: "
                                + target.length()
                                + "\r\n\r\n"
                                + target);
            }
        } catch (IOException e) {
            // The listener or connection was closed at the end of the test.
        }
    }

    BackendServer server(int connectionLimit) {
        return serverAt(listener.getLocalPort(), connectionLimit);
    }

    /** Returns a server that listens on a port of this machine. */
    static BackendServer serverAt(int port, int connectionLimit) {
        return new BackendServer(
                new BackendServerId("b" + port),
                "127.0.0.1",
                port,
                new FailureDomainId("d"),
                4,
                connectionLimit,
                false);
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
