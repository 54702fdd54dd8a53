import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Upstreams whose health is good fail part of the orders that they run. Clients repeat an order
 * only after an answer that promises that it has not run.
 */
final class Case6 {
    private static final int UPSTREAMS = 8;
    private static final int CLIENTS = 8;
    private static final long LENGTH_NANOS = 10_000_000_000L;

    /** One of eight upstreams, a share of 0.125, fails two of five orders for 6 s. */
    private static final String GREY_UPSTREAM = "i-0";

    private static final int ORDERS_PER_CYCLE = 5;
    private static final int FAILURES_PER_CYCLE = 2;
    private static final long GREY_FROM_NANOS = 2_000_000_000L;
    private static final long GREY_TO_NANOS = 8_000_000_000L;

    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);
    private static final long DEADLINE_MILLIS = 3_000;

    private static final AtomicInteger GREY_ORDERS = new AtomicInteger();

    private static volatile long startNanos;

    private Case6() {}

    static boolean isRuleBroken(CaseRecord record, Stage stage)
            throws IOException, InterruptedException {
        for (int i = 0; i < UPSTREAMS; i++) {
            stage.addUpstream("orders", i % 2 == 0 ? "za1" : "zb1", 4, Case6::order);
        }
        Config config = new Config().service("orders");
        config.route("app.example", "/order/", "unsafe", "orders", 3);
        stage.store.put("config", "main", config.json(1));
        stage.startInstances("za1", "zb1", "za1");
        Thread.sleep(4_000);
        return play(record, stage);
    }

    /** Runs an order; its last step may fail. */
    private static boolean order(Upstream upstream, Upstream.Request request, OutputStream out)
            throws IOException, InterruptedException {
        Thread.sleep(60);
        if (isGrey(upstream)
                && GREY_ORDERS.getAndIncrement() % ORDERS_PER_CYCLE < FAILURES_PER_CYCLE) {
            // Without Not-Executed, which only an upstream sends that did not run the request.
            Upstream.send(
                    out,
                    503,
                    "Request-Id: "
                            + request.id()
                            + "\r\nResponse-Signature: signed."
                            + request.id()
                            + "\r\n"
                            + upstream.load(),
                    "ordered, but the receipt service does not answer");
            return true;
        }
        return upstream.ok(request, out, "ordered");
    }

    private static boolean isGrey(Upstream upstream) {
        long nanos = System.nanoTime() - startNanos;
        return CaseRecord.hasTrouble()
                && upstream.id.equals(GREY_UPSTREAM)
                && nanos >= GREY_FROM_NANOS
                && nanos < GREY_TO_NANOS;
    }

    private static boolean play(CaseRecord record, Stage stage) throws InterruptedException {
        startNanos = System.nanoTime();
        AtomicInteger orders = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        AtomicInteger twice = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Instance instance = stage.instances.get(i % stage.instances.size());
            Runnable client =
                    () -> {
                        while (System.nanoTime() - startNanos < LENGTH_NANOS) {
                            int order = orders.getAndIncrement();
                            List<String> attempts = order(record, instance, order);
                            String first = attempts.getFirst();
                            if (attempts.size() > 1 && !stage.ranAt(first).isEmpty()) {
                                broken.incrementAndGet();
                                record.add(
                                        "%s ran at %s, but its answer promises the opposite  WRONG",
                                        first, stage.ranAt(first).getFirst().id);
                            }
                            if (attempts.stream().mapToInt(a -> stage.ranAt(a).size()).sum() > 1) {
                                twice.incrementAndGet();
                                record.add("order %d was carried out twice", order);
                            }
                        }
                    };
            clients.add(Thread.ofVirtual().start(client));
        }
        for (Thread each : clients) {
            each.join();
        }
        record.result(
                "%d of %d orders ran and were answered with a status that promises the opposite; %d"
                        + " of them were then repeated and carried out twice",
                broken.get(), orders.get(), twice.get());
        return broken.get() > 0;
    }

    /** Sends an order, once more after a promise that it has not run; returns the ids. */
    private static List<String> order(CaseRecord record, Instance instance, int order) {
        List<String> attempts = new ArrayList<>();
        Client.Answer answer;
        do {
            String id = "order-" + order + "-" + (attempts.size() + 1);
            attempts.add(id);
            String path = "/order/" + order;
            answer = Client.call(instance.front(), "POST", path, id, DEADLINE_MILLIS, "order");
            String signature =
                    answer.head() == null ? null : answer.head().field("Response-Signature");
            record.add(
                    "%s sent to %s -> %d, signature %s",
                    id, instance.name(), answer.status(), signature);
        } while (PROMISES.contains(answer.status()) && attempts.size() < 2);
        return attempts;
    }
}
