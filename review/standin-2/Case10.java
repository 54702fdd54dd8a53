import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Machines are added to the system; after that, an empty upstream is added and starts cold. */
final class Case10 {
    private static final int UPSTREAMS = 4;
    private static final String ADDED_UPSTREAM = "i-4";
    private static final int SLOTS = 4;
    private static final int WORK_MILLIS = 60;
    private static final int COLD_FACTOR = 2;
    private static final double WARM_UP_SECONDS = 3;

    /** Rule FAILBACK with the figures of gurrsa-gw: warmupPerS x warmupFactor + warmupSlack. */
    private static final double BOUND = 4.1 * 1.5 + 5;

    /** Above the bound, so that no upstream crashes while the rule holds. */
    private static final double CRASH_PER_SECOND = 1.25 * BOUND;

    private static final double CALLS_PER_SECOND = 160;
    private static final long LENGTH_NANOS = 5_000_000_000L;
    private static final Map<String, Long> SENT_NANOS = new ConcurrentHashMap<>();

    private static volatile long coldFromNanos = Long.MAX_VALUE;
    private static volatile boolean crashed;

    private Case10() {}

    static boolean isRuleBroken(CaseRecord record, Stage stage)
            throws IOException, InterruptedException {
        for (int i = 0; i < UPSTREAMS; i++) {
            stage.addUpstream("orders", "za1", SLOTS, Case10::run);
        }
        Config config = new Config().service("orders");
        config.route("app.example", "/order/", "unsafe", "orders", 2);
        stage.store.put("config", "main", config.json(1));
        stage.startInstances("za1", "za1", "za1", "za1");
        record.add("four instances are ready");
        // They have read the list of instances three times by then.
        Thread.sleep(4_000);
        if (CaseRecord.hasTrouble()) {
            stage.startInstances("za1", "za1", "za1");
            record.add("three more are ready");
        }
        Thread.sleep(8_000);
        return play(record, stage);
    }

    /** Runs an order. A cold upstream crashes at a rate well above the one that it tolerates. */
    private static boolean run(Upstream upstream, Upstream.Request request, OutputStream out)
            throws IOException, InterruptedException {
        boolean cold =
                upstream.id.equals(ADDED_UPSTREAM)
                        && System.nanoTime() - coldFromNanos < WARM_UP_SECONDS * 1e9;
        if (cold) {
            long fromNanos = System.nanoTime() - 1_000_000_000;
            long arrived = upstream.runs.stream().filter(r -> r.atNanos() >= fromNanos).count();
            if (arrived > CRASH_PER_SECOND) {
                crashed = true;
                upstream.crash();
                throw new IOException("crashed");
            }
        }
        Thread.sleep(cold ? COLD_FACTOR * WORK_MILLIS : WORK_MILLIS);
        return upstream.ok(request, out, "ordered");
    }

    private static boolean play(CaseRecord record, Stage stage)
            throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        List<Thread> calls = new ArrayList<>();
        Upstream added = null;
        int sent = 0;
        while (System.nanoTime() - startNanos < LENGTH_NANOS) {
            if (added == null && System.nanoTime() - startNanos > LENGTH_NANOS / 5) {
                coldFromNanos = System.nanoTime();
                added = stage.addCold("orders", "za1", SLOTS, Case10::run, WARM_UP_SECONDS);
                record.add("%s is added; it is cold for 3 s", added.id);
            }
            String id = "order-" + sent;
            Instance instance = stage.instances.get(sent++ % stage.instances.size());
            SENT_NANOS.put(id, System.nanoTime());
            Runnable call =
                    () -> {
                        Client.Answer answer =
                                Client.call(instance.front(), "POST", "/order/1", id, 2_000, "o");
                        answered.addAndGet(answer.status() == 200 ? 1 : 0);
                        lost.addAndGet(answer.status() == 502 ? 1 : 0);
                        record.add("%s sent to %s -> %d", id, instance.name(), answer.status());
                    };
            calls.add(Thread.ofVirtual().start(call));
            Thread.sleep((long) (1_000 / CALLS_PER_SECOND));
        }
        for (Thread each : calls) {
            each.join();
        }
        for (Upstream.Request run : added.runs) {
            record.add(
                    "%s reached %s %.3f s after it was added",
                    run.id(), added.id, (run.atNanos() - coldFromNanos) / 1e9);
        }
        int most = Case9.mostInOneSecond(added, SENT_NANOS, coldFromNanos);
        record.result(
                "%d of %d requests answered with success, %d with 502%s",
                answered.get(), sent, lost.get(), crashed ? "; the cold upstream crashed" : "");
        record.result(
                "while cold, %s got up to %d requests in one second from %d instances; allowed are"
                        + " %.2f",
                added.id, most, stage.instances.size(), BOUND);
        return most > BOUND;
    }
}
