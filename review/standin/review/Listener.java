package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server socket on a free port of the loopback address, with a thread for each connection. */
abstract class Listener implements AutoCloseable {
    private static final int BACKLOG = 1_000;

    private final ServerSocket socket;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    Listener() throws IOException {
        socket = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** Handles one request; returns false if the connection is to be closed. */
    abstract boolean handle(Http.Head head, InputStream in, OutputStream out) throws IOException;

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
                connections.add(connection);
                Thread.ofVirtual().start(() -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            Http.Head head;
            while ((head = Http.readHead(in)) != null) {
                if (!handle(head, in, out)) {
                    return;
                }
            }
        } catch (IOException e) {
            // The other side has closed the connection.
        } finally {
            connections.remove(connection);
        }
    }

    /** Closes the port and all connections, as when the process ends. */
    @Override
    public void close() {
        try {
            socket.close();
            for (Socket connection : connections) {
                connection.close();
            }
        } catch (IOException e) {
            throw new IllegalStateException("cannot close a socket", e);
        }
    }
}
