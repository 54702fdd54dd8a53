package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three of nine upstreams spoil a few of their answers: their bodies do not end before the caller
 * closes the connection. Of the requests that are still unanswered at the timeout of their route,
 * at least half must have an answer half a second later.
 */
final class EndlessAnswers extends Case {
    private static final int UPSTREAMS = 9;

    /** A third of them, below the share of 0.35 that the site names. */
    private static final int FAULTY_UPSTREAMS = 3;

    /** Share of the answers of a faulty upstream. */
    private static final double SPOILED_SHARE = 0.02;

    private static final int CHUNK_BYTES = 500;
    private static final int CHUNKS_PER_WRITE = 200;
    private static final int CLIENTS = 20;
    private static final int PAUSE_MILLIS = 80;
    private static final int TRAFFIC_MILLIS = 20_000;
    private static final int TIMEOUT_MILLIS = 1_500;
    private static final int SLACK_MILLIS = 500;
    private static final int DEADLINE_MILLIS = 10_000;

    private final AtomicInteger spoiled = new AtomicInteger();
    private final AtomicInteger answeredInTime = new AtomicInteger();
    private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
    private final AtomicInteger unansweredLater = new AtomicInteger();
    private volatile boolean ended;

    public static void main(String[] arguments) {
        run(new EndlessAnswers(), Path.of(arguments[0]));
    }

    @Override
    boolean isBroken() throws Exception {
        try (Deployment deployment = new Deployment(record, TIMEOUT_MILLIS / 1e3, 0.5)) {
            for (int i = 0; i < UPSTREAMS; i++) {
                deployment.add(new EndlessUpstream("i-" + i, trouble && i < FAULTY_UPSTREAMS));
            }
            deployment.start(1);
            Instance instance = deployment.instances.getFirst();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                String prefix = "c" + i + "-";
                clients.add(Thread.ofPlatform().start(() -> call(instance, prefix)));
            }
            Thread.sleep(TRAFFIC_MILLIS);
            ended = true;
            for (Thread client : clients) {
                client.join();
            }
            if (!instance.isAlive()) {
                throw new IOException("the instance has ended");
            }
        }
        record.add(
                "answers spoiled %d; requests answered before the timeout of %d ms: %d; unanswered"
                        + " at the timeout: %d, of these unanswered %d ms later: %d",
                spoiled.get(),
                TIMEOUT_MILLIS,
                answeredInTime.get(),
                unansweredAtTimeout.get(),
                SLACK_MILLIS,
                unansweredLater.get());
        if (answeredInTime.get() == 0) {
            throw new IOException("no request was answered");
        }
        return 2 * unansweredLater.get() > unansweredAtTimeout.get();
    }

    private void call(Instance instance, String prefix) {
        byte[] buffer = new byte[1 << 16];
        for (int i = 0; !ended; i++) {
            String id = prefix + i;
            long sentNanos = 0;
            String result;
            boolean left = false;
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", instance.frontPort), 1_000);
                String head = Client.head("GET", Deployment.SAFE_PATH + id, id, DEADLINE_MILLIS);
                socket.getOutputStream()
                        .write(
                                (head + "Connection: close\r\n\r\n")
                                        .getBytes(StandardCharsets.ISO_8859_1));
                sentNanos = System.nanoTime();
                record.add("client %s has sent", id);
                // Sound answers are short and their connections are closed, so the end of the
                // connection is the end of the answer.
                int count;
                long read = 0;
                InputStream in = socket.getInputStream();
                do {
                    int leftMillis = DEADLINE_MILLIS - (int) millisSince(sentNanos);
                    socket.setSoTimeout(Math.max(1, leftMillis));
                    count = in.read(buffer);
                    read += Math.max(0, count);
                    left = millisSince(sentNanos) >= DEADLINE_MILLIS;
                } while (count >= 0 && !left);
                result = read + " bytes";
            } catch (SocketTimeoutException e) {
                left = true;
                result = "nothing more";
            } catch (IOException e) {
                result = e.getMessage();
            }
            if (sentNanos == 0) {
                record.add("client %s was not connected: %s", id, result);
                sleep(PAUSE_MILLIS);
                continue;
            }
            count(id, millisSince(sentNanos), result, left);
            sleep(PAUSE_MILLIS);
        }
    }

    /** Counts a request by the time until its answer was complete or its connection had ended. */
    private void count(String id, long millis, String result, boolean left) {
        if (millis < TIMEOUT_MILLIS) {
            answeredInTime.incrementAndGet();
            record.add("client %s had its answer after %d ms: %s", id, millis, result);
            return;
        }
        unansweredAtTimeout.incrementAndGet();
        if (millis > TIMEOUT_MILLIS + SLACK_MILLIS) {
            unansweredLater.incrementAndGet();
        }
        String end = left ? "left at its deadline" : "had an end";
        record.add("client %s %s after %d ms: %s", id, end, millis, result);
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Gives some answers without an end if it is faulty. */
    private final class EndlessUpstream extends Upstream {
        private final boolean faulty;
        private final Random random;

        EndlessUpstream(String id, boolean faulty) throws IOException {
            super(id, Deployment.SERVICE, "fleuve-a", 4);
            this.faulty = faulty;
            this.random = new Random(id.hashCode());
        }

        @Override
        boolean run(Http.Head head, InputStream in, OutputStream out) throws IOException {
            boolean spoils;
            synchronized (random) {
                spoils = faulty && random.nextDouble() < SPOILED_SHARE;
            }
            if (!spoils) {
                return super.run(head, in, out);
            }
            spoiled.incrementAndGet();
            String request = head.field("Request-Id");
            record.add("upstream %s answers %s without an end", id, request);
            String fields =
                    "HTTP/1.1 200 OK\r\nRequest-Id: " + request + "\r\nResponse-Signature: s.1\r\n";
            String chunk =
                    Integer.toHexString(CHUNK_BYTES) + "\r\n" + "x".repeat(CHUNK_BYTES) + "\r\n";
            byte[] chunks = chunk.repeat(CHUNKS_PER_WRITE).getBytes(StandardCharsets.ISO_8859_1);
            long startNanos = System.nanoTime();
            long bytes = 0;
            try {
                out.write((fields + "Transfer-Encoding: chunked\r\n\r\n").getBytes());
                while (true) {
                    out.write(chunks);
                    bytes += chunks.length;
                }
            } catch (IOException e) {
                long millis = Math.max(1, millisSince(startNanos));
                record.add(
                        "the instance has closed the connection of %s after %d ms and %d bytes (%d"
                                + " Mbit/s)",
                        request, millis, bytes, bytes * 8 / 1_000 / millis);
            }
            return false;
        }
    }
}
