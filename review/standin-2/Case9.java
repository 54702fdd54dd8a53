import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An upstream that serves traffic becomes cold again. It says so in its health answers at once, and
 * in its entry when it writes it next. While it is cold, it tolerates a rate of requests.
 */
final class Case9 {
    private static final int UPSTREAMS = 2;

    /** Figures of gurrsa-gw: jobdesk and ticket-issue. */
    private static final int SLOTS = 4;

    private static final int WORK_MILLIS = 150;
    private static final int COLD_FACTOR = 2;
    private static final long COLD_NANOS = 3_000_000_000L;
    private static final double TOLERATED_PER_SECOND = 4.1;
    private static final long HEARTBEAT_MILLIS = 1_500;

    /** Rule FAILBACK: warmupPerS x warmupFactor + warmupSlack. */
    private static final double BOUND = TOLERATED_PER_SECOND * 1.5 + 5;

    /** Above the bound, so that no upstream crashes while the rule holds. */
    private static final double CRASH_PER_SECOND = 1.25 * BOUND;

    private static final double CALLS_PER_SECOND = 46;
    private static final long CALM_NANOS = 6_000_000_000L;
    private static final long LENGTH_NANOS = 14_000_000_000L;
    private static final long SECOND_NANOS = 1_000_000_000L;

    private static final Map<String, Long> SENT_NANOS = new ConcurrentHashMap<>();

    private static volatile long coldFromNanos = Long.MAX_VALUE;
    private static volatile String coldUpstream = "";

    private static volatile boolean crashed;

    /** Whether the upstreams have just written their entries. */
    private static volatile boolean justWritten;

    private Case9() {}

    static boolean isRuleBroken(CaseRecord record, Stage stage)
            throws IOException, InterruptedException {
        for (int i = 0; i < UPSTREAMS; i++) {
            stage.addUpstream("orders", "za1", SLOTS, Case9::run).healthFields(Case9::warmth);
        }
        Config config = new Config().service("orders");
        config.route("app.example", "/order/", "unsafe", "orders", 2);
        stage.store.put("config", "main", config.json(1));
        stage.startInstances("za1", "za1", "za1");
        // By then all instances count one another.
        Thread.sleep(6_000);
        return play(record, stage);
    }

    private static boolean isCold(String upstream) {
        long nanos = System.nanoTime() - coldFromNanos;
        return upstream.equals(coldUpstream) && nanos >= 0 && nanos < COLD_NANOS;
    }

    private static String warmth(Upstream upstream) {
        long leftMillis = (coldFromNanos + COLD_NANOS - System.nanoTime()) / 1_000_000;
        return isCold(upstream.id) ? "Warmup-Ms: " + leftMillis + "\r\n" : "";
    }

    /** Runs an order. A cold upstream crashes at a rate well above the one that it tolerates. */
    private static boolean run(Upstream upstream, Upstream.Request request, OutputStream out)
            throws IOException, InterruptedException {
        if (isCold(upstream.id)) {
            long fromNanos = Math.max(coldFromNanos, System.nanoTime() - SECOND_NANOS);
            long arrived = upstream.runs.stream().filter(run -> run.atNanos() >= fromNanos).count();
            if (arrived > CRASH_PER_SECOND) {
                crashed = true;
                upstream.crash();
                throw new IOException("crashed");
            }
        }
        Thread.sleep(isCold(upstream.id) ? COLD_FACTOR * WORK_MILLIS : WORK_MILLIS);
        return upstream.ok(request, out, "ordered");
    }

    private static boolean play(CaseRecord record, Stage stage) throws InterruptedException {
        List<Upstream> upstreams = stage.upstreams;
        long startNanos = System.nanoTime();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        Thread beats = Thread.ofVirtual().start(() -> beat(record, stage));
        List<Thread> calls = new ArrayList<>();
        int sent = 0;
        boolean turned = false;
        while (System.nanoTime() - startNanos < LENGTH_NANOS) {
            if (!turned && System.nanoTime() - startNanos > CALM_NANOS && justWritten) {
                turned = true;
                if (CaseRecord.hasTrouble()) {
                    coldUpstream = upstreams.getFirst().id;
                    coldFromNanos = System.nanoTime();
                    record.add("%s is cold for 3 s from now on", coldUpstream);
                }
            }
            String id = "order-" + sent;
            Instance instance = stage.instances.get(sent++ % stage.instances.size());
            SENT_NANOS.put(id, System.nanoTime());
            calls.add(
                    Thread.ofVirtual()
                            .start(
                                    () -> {
                                        Client.Answer answer =
                                                Client.call(
                                                        instance.front(),
                                                        "POST",
                                                        "/order/1",
                                                        id,
                                                        2_000,
                                                        "order");
                                        answered.addAndGet(answer.status() == 200 ? 1 : 0);
                                        lost.addAndGet(answer.status() == 502 ? 1 : 0);
                                        record.add(
                                                "%s sent to %s -> %d",
                                                id, instance.name(), answer.status());
                                    }));
            Thread.sleep((long) (1_000 / CALLS_PER_SECOND));
        }
        for (Thread each : calls) {
            each.join();
        }
        beats.interrupt();
        for (Upstream upstream : upstreams) {
            for (Upstream.Request run : upstream.runs) {
                record.add(
                        "%s reached %s at %.3f s%s",
                        run.id(),
                        upstream.id,
                        (run.atNanos() - startNanos) / 1e9,
                        upstream.id.equals(coldUpstream)
                                        && run.atNanos() >= coldFromNanos
                                        && run.atNanos() < coldFromNanos + COLD_NANOS
                                ? ", cold"
                                : "");
            }
        }
        int most = mostInOneSecond(upstreams.getFirst(), SENT_NANOS, coldFromNanos);
        record.result(
                "%d of %d requests answered with success, %d with 502%s",
                answered.get(), sent, lost.get(), crashed ? "; the cold upstream crashed" : "");
        record.result(
                "while cold, %s got up to %d requests in one second; allowed are %.2f",
                upstreams.getFirst().id, most, BOUND);
        return most > BOUND;
    }

    /** Each upstream writes its entry every heartbeat; without news only seq changes. */
    private static void beat(CaseRecord record, Stage stage) {
        try {
            for (int seq = 2; ; seq++) {
                for (Upstream upstream : stage.upstreams) {
                    double left = 0;
                    if (isCold(upstream.id)) {
                        left = (coldFromNanos + COLD_NANOS - System.nanoTime()) / 1e9;
                        record.add("%s writes warmupLeftS %.2f", upstream.id, left);
                        stage.store.put("servers", upstream.id, upstream.entry("ready", seq, left));
                    }
                }
                justWritten = true;
                Thread.sleep(HEARTBEAT_MILLIS / 5);
                justWritten = false;
                Thread.sleep(HEARTBEAT_MILLIS - HEARTBEAT_MILLIS / 5);
            }
        } catch (InterruptedException e) {
            // The play has ended.
        }
    }

    /**
     * Returns the most requests that were sent and arrived within a second while an upstream was
     * cold.
     */
    static int mostInOneSecond(
            Upstream upstream, Map<String, Long> sentNanos, long coldStartNanos) {
        long coldEndNanos = coldStartNanos + COLD_NANOS;
        int most = 0;
        for (Upstream.Request first : upstream.runs) {
            long fromNanos = sentNanos.get(first.id());
            if (fromNanos < coldStartNanos || fromNanos >= coldEndNanos) {
                continue;
            }
            int count = 0;
            for (Upstream.Request each : upstream.runs) {
                boolean inside =
                        sentNanos.get(each.id()) >= fromNanos
                                && each.atNanos()
                                        < Math.min(coldEndNanos, fromNanos + SECOND_NANOS);
                count += inside ? 1 : 0;
            }
            most = Math.max(most, count);
        }
        return most;
    }
}
