import java.io.IOException;
import java.io.OutputStream;
import java.util.List;

/**
 * Versions of a grown configuration come in quick succession. Then each request is sent more than
 * configS after the acknowledgement of the version by which it has to be handled.
 */
final class Case8 {
    private static final int ADDED_ROUTES = 5_600;
    private static final int STORMS = 4;
    private static final int VERSIONS_PER_STORM = 25;
    private static final int VERSION_GAP_MILLIS = 80;
    private static final long CONFIG_MILLIS = 2_000;
    private static final long WATCHED_NANOS = 9_000_000_000L;

    private Case8() {}

    static boolean isRuleBroken(CaseRecord record, Stage stage)
            throws IOException, InterruptedException {
        for (int i = 0; i < 6; i++) {
            String service = List.of("reads", "old", "new").get(i / 2);
            stage.addUpstream(service, "za" + (i % 3 + 1), 4, Case8::run);
        }
        stage.store.put("config", "main", config(1, 0, "old", 0));
        stage.startInstances("za1", "za2", "za3");
        Thread.sleep(5_000);
        return play(record, stage, CaseRecord.hasTrouble() ? ADDED_ROUTES : 0);
    }

    private static boolean run(Upstream upstream, Upstream.Request request, OutputStream out)
            throws IOException {
        return upstream.ok(request, out, "done by " + upstream.service);
    }

    /** Returns a version with a number of further routes, and with the service of the orders. */
    private static String config(int version, int newRoutes, String orders, int added) {
        Config config = new Config().service("reads").service("old").service("new");
        config.route("app.example", "/read/", "safe", "reads");
        config.route("app.example", "/order/", "unsafe", orders);
        for (int i = 1; i <= newRoutes; i++) {
            config.route("app.example", "/added" + i + "/", "safe", "reads");
        }
        for (int i = 0; i < added; i++) {
            config.route("shop%d.example".formatted(i), "/stall%d/".formatted(i), "safe", "reads");
        }
        return config.json(version);
    }

    private static boolean play(CaseRecord record, Stage stage, int added)
            throws IOException, InterruptedException {
        String grown = config(2, 0, "old", added);
        stage.store.put("config", "main", grown);
        record.result("version 2 acknowledged: %d routes, %d bytes", added + 2, grown.length());
        Thread.sleep(6_000);
        for (Instance each : stage.instances) {
            String id = "before-" + each.name();
            Client.Answer answer = Client.call(each.front(), "GET", "/read/1", id, 2_000, "");
            if (answer.status() != 200) {
                throw new IOException(each.name() + " answers " + answer.status());
            }
        }
        int wrong = 0;
        int newRoutes = 0;
        for (int storm = 1; storm <= STORMS; storm++) {
            String orders = storm % 2 == 1 ? "new" : "old";
            String before = storm % 2 == 1 ? "old" : "new";
            for (int i = 1; i <= VERSIONS_PER_STORM; i++) {
                newRoutes++;
                boolean last = i == VERSIONS_PER_STORM;
                String config = config(2 + newRoutes, newRoutes, last ? orders : before, added);
                stage.store.put("config", "main", config);
                record.add("version %d acknowledged", 2 + newRoutes);
                if (!last) {
                    Thread.sleep(VERSION_GAP_MILLIS);
                }
            }
            wrong += watch(record, stage, storm, newRoutes, orders);
        }
        return wrong > 0;
    }

    /** Returns how many pairs of requests were handled as only an older version allows. */
    private static int watch(
            CaseRecord record, Stage stage, int storm, int newestRoute, String orders)
            throws InterruptedException {
        // The last version was acknowledged before this time.
        long ackNanos = System.nanoTime();
        Thread.sleep(CONFIG_MILLIS + 1);
        int sent = 0;
        int wrong = 0;
        double latestSeconds = 0;
        while (System.nanoTime() - ackNanos < WATCHED_NANOS) {
            for (Instance each : stage.instances) {
                double seconds = (System.nanoTime() - ackNanos) / 1e9;
                String readId = "read-" + storm + "-" + sent;
                String path = "/added" + newestRoute + "/1";
                Client.Answer read = Client.call(each.front(), "GET", path, readId, 2_000, "");
                String orderId = "order-" + storm + "-" + sent;
                Client.Answer order =
                        Client.call(each.front(), "POST", "/order/1", orderId, 2_000, "order");
                List<Upstream> ranAt = stage.ranAt(orderId);
                String ranBy = ranAt.isEmpty() ? "nobody" : ranAt.getFirst().service;
                boolean isWrong = read.status() == 404 || !ranAt.isEmpty() && !ranBy.equals(orders);
                record.add(
                        "%.3f s after the acknowledgement, %s: %s %s -> %d; %s -> %d, run by %s%s",
                        seconds,
                        each.name(),
                        readId,
                        path,
                        read.status(),
                        orderId,
                        order.status(),
                        ranBy,
                        isWrong ? "  WRONG" : "");
                sent++;
                if (isWrong) {
                    wrong++;
                    latestSeconds = seconds;
                }
            }
            Thread.sleep(100);
        }
        record.result(
                "storm %d: %d of %d pairs of requests, sent more than 2 s after the"
                    + " acknowledgement, were handled by an older version; the latest %.1f s after"
                    + " it",
                storm, wrong, sent, latestSeconds);
        return wrong;
    }
}
