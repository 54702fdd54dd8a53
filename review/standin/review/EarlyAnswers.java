package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Upstreams answer before they have read a long body, keep the connection and read on later.
 * Clients keep their connections for many requests. Of the requests that are still unanswered at
 * the timeout of their route, at least half must have an answer half a second later.
 */
final class EarlyAnswers extends Case {
    private static final int UPSTREAMS = 4;
    private static final int CLIENTS = 6;

    /** Close to the longest bodies of almanach-sl, which have 7,200 bytes. */
    private static final int LONG_BYTES = 7_000;

    private static final int READ_LATER_MILLIS = 20;
    private static final int TIMEOUT_MILLIS = 1_500;
    private static final int SLACK_MILLIS = 500;
    private static final int DEADLINE_MILLIS = 3_000;
    private static final int TRAFFIC_MILLIS = 25_000;
    private static final int PAUSE_MILLIS = 20;

    private final AtomicInteger early = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
    private final AtomicInteger unansweredLater = new AtomicInteger();
    private final AtomicInteger otherEnds = new AtomicInteger();
    private volatile boolean ended;

    public static void main(String[] arguments) {
        run(new EarlyAnswers(), Path.of(arguments[0]));
    }

    @Override
    boolean isBroken() throws Exception {
        try (Deployment deployment = new Deployment(record, TIMEOUT_MILLIS / 1e3, 0.5)) {
            for (int i = 0; i < UPSTREAMS; i++) {
                deployment.add(new EarlyUpstream("i-" + i));
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
                "early answers %d; requests answered %d, connections that ended %d; unanswered at"
                        + " the timeout of %d ms: %d, of these unanswered %d ms later: %d",
                early.get(),
                answered.get(),
                otherEnds.get(),
                TIMEOUT_MILLIS,
                unansweredAtTimeout.get(),
                SLACK_MILLIS,
                unansweredLater.get());
        if (answered.get() == 0) {
            throw new IOException("no request was answered");
        }
        return 2 * unansweredLater.get() > unansweredAtTimeout.get();
    }

    /** Sends long and short requests in turn on a connection that is kept as long as possible. */
    private void call(Instance instance, String prefix) {
        String chunk = Integer.toHexString(LONG_BYTES) + "\r\n" + "x".repeat(LONG_BYTES) + "\r\n";
        Client client = null;
        for (int i = 0; !ended; i++) {
            String id = prefix + i;
            boolean isLong = i % 2 == 0;
            String head =
                    isLong
                            ? Client.head("POST", Deployment.UNSAFE_PATH + id, id, DEADLINE_MILLIS)
                                    + "Transfer-Encoding: chunked\r\n\r\n"
                            : Client.head("GET", Deployment.SAFE_PATH + id, id, DEADLINE_MILLIS)
                                    + "\r\n";
            String request = isLong ? head + chunk + "0\r\n\r\n" : head;
            boolean kept = client != null;
            long sentNanos = System.nanoTime();
            try {
                if (client == null) {
                    client = new Client(instance.frontPort, DEADLINE_MILLIS);
                }
                record.add("client sends %s on a %s connection", id, kept ? "kept" : "new");
                client.send(request);
                Client.Answer answer = client.read();
                count(id, kept, sentNanos, "answered " + answer.status());
                answered.incrementAndGet();
                record.add("request %s got %d", id, answer.status());
                boolean closes = "close".equalsIgnoreCase(answer.head().field("Connection"));
                client = closes ? closed(client) : client;
            } catch (SocketTimeoutException e) {
                count(id, kept, sentNanos, "given up by the client at its deadline");
                client = closed(client);
            } catch (IOException e) {
                otherEnds.incrementAndGet();
                record.add("client %s got no complete answer: %s", id, e.getMessage());
                client = closed(client);
            }
            sleep(PAUSE_MILLIS);
        }
        closed(client);
    }

    /** Closes a connection and returns null in its place. */
    private Client closed(Client client) {
        try {
            if (client != null) {
                client.close();
            }
        } catch (IOException e) {
            record.add("a connection cannot be closed: %s", e);
        }
        return null;
    }

    private void count(String id, boolean kept, long sentNanos, String end) {
        long millis = (System.nanoTime() - sentNanos) / 1_000_000;
        if (millis < TIMEOUT_MILLIS) {
            return;
        }
        unansweredAtTimeout.incrementAndGet();
        if (millis > TIMEOUT_MILLIS + SLACK_MILLIS) {
            unansweredLater.incrementAndGet();
        }
        record.add(
                "request %s on a %s connection: %s after %d ms",
                id, kept ? "kept" : "new", end, millis);
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Answers requests with a long body first and reads the body later, if there is trouble. */
    private final class EarlyUpstream extends Upstream {
        EarlyUpstream(String id) throws IOException {
            super(id, Deployment.SERVICE, "fleuve-a", 4);
        }

        @Override
        boolean run(Http.Head head, InputStream in, OutputStream out) throws IOException {
            boolean isLong = head.field("Transfer-Encoding") != null;
            if (!trouble || !isLong) {
                return super.run(head, in, out);
            }
            early.incrementAndGet();
            String id = head.field("Request-Id");
            send(out, 200, "Request-Id: " + id + "\r\nResponse-Signature: s.1\r\n", answer(head));
            EarlyAnswers.sleep(READ_LATER_MILLIS);
            Http.readBody(in, head, false);
            return true;
        }
    }
}
