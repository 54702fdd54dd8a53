package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Upstreams answer in chunks. Some break off a few of their answers in the middle, write an error
 * answer where the next chunk is due, and close the connection. No such answer may look complete.
 */
final class SpoiledChunks extends Case {
    private static final int UPSTREAMS = 6;

    /** A third of them, below the share of 0.35 that the site names. */
    private static final int FAULTY_UPSTREAMS = 2;

    /** Share of the answers of a faulty upstream. */
    private static final double SPOILED_SHARE = 0.02;

    private static final int CHUNKS = 10;
    private static final int CLIENTS = 8;
    private static final int REQUESTS_PER_CLIENT = 400;
    private static final int DEADLINE_MILLIS = 3_000;

    private static final String ERROR_ANSWER =
            "HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

    private final AtomicInteger spoiled = new AtomicInteger();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger wrong = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();

    public static void main(String[] arguments) {
        run(new SpoiledChunks(), Path.of(arguments[0]));
    }

    @Override
    boolean isBroken() throws Exception {
        try (Deployment deployment = new Deployment(record, 3, 0.5)) {
            for (int i = 0; i < UPSTREAMS; i++) {
                deployment.add(new ChunkedUpstream(i, trouble && i < FAULTY_UPSTREAMS));
            }
            deployment.start(1);
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                String prefix = "c" + i + "-";
                clients.add(
                        Thread.ofPlatform()
                                .start(() -> call(deployment.instances.getFirst(), prefix)));
            }
            for (Thread client : clients) {
                client.join();
            }
            if (!deployment.instances.getFirst().isAlive()) {
                throw new IOException("the instance has ended");
            }
        }
        record.add(
                "answers spoiled %d; successes whole %d, wrong but complete %d; other ends %d",
                spoiled.get(), whole.get(), wrong.get(), failed.get());
        if (whole.get() == 0) {
            throw new IOException("no request was served");
        }
        return wrong.get() > 0;
    }

    private void call(Instance instance, String prefix) {
        for (int i = 0; i < REQUESTS_PER_CLIENT; i++) {
            String id = prefix + i;
            try (Client client = new Client(instance.frontPort, 2 * DEADLINE_MILLIS)) {
                String target = Deployment.SAFE_PATH + id;
                record.add("client %s sends", id);
                client.send(Client.head("GET", target, id, DEADLINE_MILLIS) + "\r\n");
                Client.Answer answer = client.read();
                boolean success = answer.status() / 100 == 2;
                if (success && answer.body().equals(wholeBody(id))) {
                    whole.incrementAndGet();
                    record.add("client %s got %d, whole", id, answer.status());
                } else if (success) {
                    wrong.incrementAndGet();
                    record.add(
                            "client %s got %d with a complete body of %d bytes of %d: %s",
                            id,
                            answer.status(),
                            answer.body().length(),
                            wholeBody(id).length(),
                            answer.head().fields());
                } else {
                    failed.incrementAndGet();
                    record.add("client %s got %d", id, answer.status());
                }
            } catch (IOException e) {
                failed.incrementAndGet();
                record.add("client %s got no complete answer: %s", id, e.getMessage());
            }
        }
    }

    private static String chunk(String id, int number) {
        return String.format("%s part %02d of the calendar;%n", id, number).repeat(4);
    }

    private static String wholeBody(String id) {
        StringBuilder body = new StringBuilder();
        for (int i = 0; i < CHUNKS; i++) {
            body.append(chunk(id, i));
        }
        return body.toString();
    }

    /** Answers in chunks, and spoils some of its answers if it is faulty. */
    private final class ChunkedUpstream extends Upstream {
        private final boolean faulty;
        private final Random random;

        ChunkedUpstream(int number, boolean faulty) throws IOException {
            super("i-" + number, Deployment.SERVICE, "fleuve-a", 2);
            this.faulty = faulty;
            this.random = new Random(number);
        }

        @Override
        boolean run(Http.Head head, InputStream in, OutputStream out) throws IOException {
            String id = head.field("Request-Id");
            boolean spoils;
            synchronized (random) {
                spoils = faulty && random.nextDouble() < SPOILED_SHARE;
            }
            String fields =
                    "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s." + id;
            write(out, fields + "\r\n" + load() + "Transfer-Encoding: chunked\r\n\r\n");
            for (int i = 0; i < CHUNKS; i++) {
                if (spoils && i == CHUNKS / 2) {
                    spoiled.incrementAndGet();
                    record.add(
                            "upstream %s breaks off its answer to %s after %d chunks",
                            this.id, id, i);
                    write(out, ERROR_ANSWER);
                    return false;
                }
                String chunk = chunk(id, i);
                write(out, Integer.toHexString(chunk.length()) + "\r\n" + chunk + "\r\n");
            }
            write(out, "0\r\n\r\n");
            return true;
        }

        private static void write(OutputStream out, String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }
}
