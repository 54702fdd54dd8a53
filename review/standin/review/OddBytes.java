package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer leaves an entry of kind servers with a byte that is not UTF-8: the word "café" in
 * Latin-1; or, with ENTRY=large, three entries of nearly valueBytes of small objects. They cost no
 * more than themselves: when an upstream then reports that it is draining, no request may reach it
 * later than drainS after the store has accepted the report.
 */
final class OddBytes extends Case {
    private static final int DRAIN_MILLIS = 2_000;
    private static final int INSTANCES = 2;
    private static final int UPSTREAMS = 4;
    private static final int CLIENTS = 6;
    private static final int DEADLINE_MILLIS = 1_500;

    /** From the entry until an upstream reports that it is draining. */
    private static final int PAUSE_MILLIS = 1_000;

    /** From the report to the end of the traffic; the upstream serves all the while. */
    private static final int WATCHED_MILLIS = 12_000;

    private static final int START_MILLIS = 20_000;

    private static final int LARGE_ENTRIES = 3;

    /** Valid JSON of another form than an entry has, a little below valueBytes. */
    private static final String LARGE_SPEC = "{\"x\":[" + "{\"a\":{}},".repeat(115_000) + "1]}";

    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger other = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private volatile boolean ended;

    public static void main(String[] arguments) {
        run(new OddBytes(), Path.of(arguments[0]));
    }

    @Override
    boolean isBroken() throws Exception {
        try (Deployment deployment = new Deployment(record, 3, 0.5)) {
            for (int i = 0; i < UPSTREAMS; i++) {
                deployment.add(new WatchedUpstream("i-" + i));
            }
            deployment.start(INSTANCES);
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                String prefix = "c" + i + "-";
                Instance instance = deployment.instances.get(i % INSTANCES);
                clients.add(Thread.ofPlatform().start(() -> call(instance, prefix)));
            }
            WatchedUpstream leaving = (WatchedUpstream) deployment.upstreams.getFirst();
            if (trouble) {
                writeOddEntries(deployment.store, leaving);
            }
            Thread.sleep(PAUSE_MILLIS);
            deployment.store.put("servers", leaving.id, leaving.spec("draining", 2));
            leaving.acknowledgedNanos = System.nanoTime();
            record.add("the store accepts that upstream %s is draining", leaving.id);
            Thread.sleep(WATCHED_MILLIS);
            ended = true;
            for (Thread client : clients) {
                client.join();
            }
            recordStart(deployment);
        }
        record.add(
                "requests served %d, other ends %d; reached the draining upstream too late %d",
                served.get(), other.get(), late.get());
        if (served.get() == 0) {
            throw new IOException("no request was served");
        }
        return late.get() > 0;
    }

    private void writeOddEntries(Store store, Upstream model) throws InterruptedException {
        if (!"large".equals(System.getenv("ENTRY"))) {
            String spec = model.spec("ready", 1).replace("\"v1\"", "\"caf\u00e9\"");
            store.put("servers", "of-another-writer", spec);
            record.add("the store holds an entry with a byte that is not UTF-8");
            return;
        }
        for (int i = 0; i < LARGE_ENTRIES; i++) {
            store.put("servers", "of-another-writer-" + i, LARGE_SPEC);
            record.add("the store holds an entry of %d bytes", LARGE_SPEC.length());
            Thread.sleep(PAUSE_MILLIS);
        }
    }

    /** Records whether a machine that is added now becomes ready; this is not judged. */
    private void recordStart(Deployment deployment) throws IOException, InterruptedException {
        Instance added = new Instance("front-fleuve-a-9", "fleuve-a", "fleuve", deployment.store);
        deployment.instances.add(added);
        long startNanos = System.nanoTime();
        long millis = 0;
        while (!added.isReady() && millis < START_MILLIS) {
            Thread.sleep(100);
            millis = (System.nanoTime() - startNanos) / 1_000_000;
        }
        record.add("an added instance is ready=%s after %d ms", added.isReady(), millis);
    }

    private void call(Instance instance, String prefix) {
        for (int i = 0; !ended; i++) {
            String id = prefix + i;
            try (Client client = new Client(instance.frontPort, 2 * DEADLINE_MILLIS)) {
                String target = Deployment.UNSAFE_PATH + id;
                record.add("client %s sends", id);
                client.send(
                        Client.head("POST", target, id, DEADLINE_MILLIS)
                                + "Content-Length: 5\r\n\r\nhello");
                int status = client.read().status();
                (status == 200 ? served : other).incrementAndGet();
                record.add("client %s got %d", id, status);
                Thread.sleep(50);
            } catch (IOException e) {
                other.incrementAndGet();
                record.add("client %s got no complete answer: %s", id, e.getMessage());
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Records the requests that reach it too late after its report. */
    private final class WatchedUpstream extends Upstream {
        private volatile long acknowledgedNanos = Long.MAX_VALUE;

        WatchedUpstream(String id) throws IOException {
            super(id, Deployment.SERVICE, "fleuve-a", 2);
        }

        @Override
        void work(Http.Head head, byte[] body) {
            if (acknowledgedNanos == Long.MAX_VALUE) {
                return;
            }
            long afterMillis = (System.nanoTime() - acknowledgedNanos) / 1_000_000;
            if (afterMillis > DRAIN_MILLIS) {
                late.incrementAndGet();
                record.add(
                        "upstream %s runs %s %d ms after its report",
                        id, head.field("Request-Id"), afterMillis);
            }
        }
    }
}
