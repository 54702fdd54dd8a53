package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients on slow links take some seconds to send the bodies of their requests. Meanwhile half of
 * the upstreams are replaced: new ones start, the old ones report that they are draining, serve on
 * for drainS and a little longer, and end. No request may reach one of them later than drainS after
 * the store has accepted its report.
 */
final class SlowUploads extends Case {
    private static final int DRAIN_MILLIS = 2_000;

    /** From the report to the end of the process: drainS and a little longer. */
    private static final int END_MILLIS = 3_200;

    /** From the report until the clients send the rest of their bodies. */
    private static final int REST_MILLIS = 2_600;

    private static final int WORK_MILLIS = 1_000;
    private static final int UPSTREAMS = 4;
    private static final int REPLACED = 2;
    private static final int CLIENTS = 12;
    private static final int BODY_BYTES = 2_000;
    private static final int DEADLINE_MILLIS = 10_000;

    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger notServed = new AtomicInteger();

    public static void main(String[] arguments) {
        run(new SlowUploads(), Path.of(arguments[0]));
    }

    @Override
    boolean isBroken() throws Exception {
        try (Deployment deployment = new Deployment(record, DEADLINE_MILLIS / 1e3, 5)) {
            List<DrainingUpstream> old = new ArrayList<>();
            for (int i = 0; i < UPSTREAMS; i++) {
                DrainingUpstream upstream = new DrainingUpstream("i-" + i);
                deployment.add(upstream);
                old.add(upstream);
            }
            deployment.start(1);
            Instance instance = deployment.instances.getFirst();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                String id = "c" + i;
                clients.add(Thread.ofPlatform().start(() -> upload(instance, id)));
            }
            Thread.sleep(500);
            if (trouble) {
                replace(deployment, old.subList(0, REPLACED));
            }
            for (Thread client : clients) {
                client.join();
            }
        }
        record.add(
                "requests served %d, not served %d; reached a draining upstream too late %d, cut"
                        + " off there %d",
                served.get(), notServed.get(), late.get(), cut.get());
        if (served.get() == 0) {
            throw new IOException("no request was served");
        }
        return late.get() > 0;
    }

    private void replace(Deployment deployment, List<DrainingUpstream> old)
            throws IOException, InterruptedException {
        for (int i = 0; i < old.size(); i++) {
            deployment.add(new DrainingUpstream("i-new-" + i));
        }
        for (DrainingUpstream upstream : old) {
            deployment.store.put("servers", upstream.id, upstream.spec("draining", 2));
            upstream.acknowledgedNanos = System.nanoTime();
            record.add("the store accepts that upstream %s is draining", upstream.id);
        }
        Thread.ofPlatform()
                .daemon()
                .start(
                        () -> {
                            sleep(END_MILLIS);
                            for (DrainingUpstream upstream : old) {
                                deployment.store.delete("servers", upstream.id);
                                upstream.ended = true;
                                upstream.close();
                                record.add("upstream %s ends", upstream.id);
                            }
                        });
    }

    private void upload(Instance instance, String id) {
        String half = "x".repeat(BODY_BYTES / 2);
        try (Client client = new Client(instance.frontPort, 2 * DEADLINE_MILLIS)) {
            String head =
                    Client.head("POST", Deployment.UNSAFE_PATH + id, id, DEADLINE_MILLIS)
                            + "Content-Length: "
                            + BODY_BYTES
                            + "\r\n\r\n";
            client.send(head + half);
            record.add("client %s has sent the head and half of the body", id);
            // Half a second passes before the old upstreams report that they are draining.
            sleep(500 + REST_MILLIS);
            client.send(half);
            record.add("client %s has sent the rest", id);
            Client.Answer answer = client.read();
            record.add("client %s got %d: %s", id, answer.status(), answer.body());
            (answer.status() == 200 ? served : notServed).incrementAndGet();
        } catch (IOException e) {
            notServed.incrementAndGet();
            record.add("client %s got no complete answer: %s", id, e.getMessage());
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Records the requests that reach it, and how long after its report. */
    private final class DrainingUpstream extends Upstream {
        private volatile long acknowledgedNanos = Long.MAX_VALUE;
        private volatile boolean ended;

        DrainingUpstream(String id) throws IOException {
            super(id, Deployment.SERVICE, "fleuve-a", 2);
        }

        @Override
        void work(Http.Head head, byte[] body) {
            String request = head.field("Request-Id");
            long afterMillis =
                    acknowledgedNanos == Long.MAX_VALUE
                            ? -1
                            : (System.nanoTime() - acknowledgedNanos) / 1_000_000;
            record.add(
                    "upstream %s runs %s, Deadline-Ms %s", id, request, head.field("Deadline-Ms"));
            if (afterMillis > DRAIN_MILLIS) {
                late.incrementAndGet();
                record.add("%s has reached %s %d ms after its report", request, id, afterMillis);
            }
            sleep(WORK_MILLIS);
            if (ended) {
                cut.incrementAndGet();
                record.add("upstream %s has ended while it ran %s", id, request);
            }
        }
    }
}
