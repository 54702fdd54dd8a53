import java.io.IOException;
import java.io.OutputStream;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/** Clients upload large bodies, which stay far inside the limit that the operator has set. */
final class Case7 {
    private static final int UPLOADS = 60;
    private static final int LARGE_BYTES = 3 << 20;

    /** What the same clients upload without the large bodies. */
    private static final int SMALL_BYTES = 1 << 20;

    private static final long DEADLINE_MILLIS = 10_000;

    /** Rule DENIED: more than this number and one in 500 of all requests. */
    private static final int DENIED_ALLOWED = 5;

    private static final int REQUESTS_PER_DENIED = 500;
    private static final int FIRST_OWN_DENIAL = 300;
    private static final int FIRST_SERVER_ERROR = 500;

    private Case7() {}

    static boolean isRuleBroken(CaseRecord record, Stage stage)
            throws IOException, InterruptedException {
        for (int i = 0; i < 6; i++) {
            stage.addUpstream("catalogue", i < 3 ? "za1" : "zb1", 3, Case7::store);
        }
        Config config = new Config().service("catalogue");
        config.route("app.example", "/upload/", "upload", "catalogue", 10);
        stage.store.put("config", "main", config.json(1));
        stage.startInstances("za1", "zb1", "za1");
        Thread.sleep(4_000);
        return play(record, stage);
    }

    private static boolean store(Upstream upstream, Upstream.Request request, OutputStream out)
            throws IOException, InterruptedException {
        Thread.sleep(20);
        return upstream.ok(request, out, "stored " + request.body().length);
    }

    private static boolean play(CaseRecord record, Stage stage) {
        byte[] body = new byte[CaseRecord.hasTrouble() ? LARGE_BYTES : SMALL_BYTES];
        new Random(1).nextBytes(body);
        int denied = 0;
        int answered = 0;
        for (int i = 0; i < UPLOADS; i++) {
            Instance instance = stage.instances.get(i % stage.instances.size());
            String id = "upload-" + i;
            Client.Answer answer = upload(instance, id, body);
            boolean whole =
                    stage.upstreams.stream()
                            .flatMap(upstream -> upstream.runs.stream())
                            .anyMatch(
                                    run -> run.id().equals(id) && Arrays.equals(run.body(), body));
            boolean signed =
                    answer.head() != null && answer.head().field("Response-Signature") != null;
            boolean own =
                    answer.status() >= FIRST_OWN_DENIAL
                            && answer.status() < FIRST_SERVER_ERROR
                            && !signed;
            boolean excepted = List.of(408, 421, 429).contains(answer.status());
            denied += own && !excepted ? 1 : 0;
            answered += answer.status() == 200 && whole ? 1 : 0;
            record.add(
                    "%s, %d bytes with Content-Length, sent to %s -> %d%s, %s%s",
                    id,
                    body.length,
                    instance.name(),
                    answer.status(),
                    answer.note().isEmpty() ? "" : " (" + answer.note() + ")",
                    whole ? "stored whole" : "stored nowhere",
                    own ? ": " + answer.body() : "");
        }
        record.result(
                "of %d uploads of %d bytes, %d were stored and answered, %d were ended with a 4xx"
                        + " of the system; maxBodyBytes is 67108864",
                UPLOADS, body.length, answered, denied);
        return denied > DENIED_ALLOWED + (double) UPLOADS / REQUESTS_PER_DENIED;
    }

    /** Uploads as a client does that reads an early answer. */
    private static Client.Answer upload(Instance instance, String id, byte[] body) {
        try (Client client = new Client(instance.front())) {
            String length = "Content-Length: " + body.length + "\r\n";
            client.write(Client.head("POST", "/upload/1", id, DEADLINE_MILLIS, length));
            Thread sender =
                    Thread.ofVirtual()
                            .start(
                                    () -> {
                                        try {
                                            client.socket.getOutputStream().write(body);
                                        } catch (IOException e) {
                                            // The instance has closed; its answer tells why.
                                        }
                                    });
            Client.Answer answer = client.read(DEADLINE_MILLIS + 1_000);
            sender.interrupt();
            return answer;
        } catch (IOException e) {
            return new Client.Answer(0, null, "", e.toString());
        }
    }
}
