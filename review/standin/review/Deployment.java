package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A small deployment: a store with one configuration, upstreams and one or more instances. */
final class Deployment implements AutoCloseable {
    static final String HOST = "hulo84.example";
    static final String SAFE_PATH = "/leny950/";
    static final String UNSAFE_PATH = "/puka111/";
    static final String SERVICE = "huvo11a";

    /** Longer than contactS, after which a machine without disruption is in touch. */
    private static final long IN_TOUCH_MILLIS = 4_000;

    private static final String CONFIG =
            """
            {"version":"%08x","routes":[
            {"name":"r-safe","host":"HOST","pathPrefix":"/leny950/","kind":"safe","timeoutS":%s,
             "targetLatencyS":%s,"priority":2,"service":"huvo11a","maxAttempts":2,
             "allowedRegions":[]},
            {"name":"r-unsafe","host":"HOST","pathPrefix":"/puka111/","kind":"unsafe",
             "timeoutS":%s,"targetLatencyS":%s,"priority":1,"service":"huvo11a","maxAttempts":2,
             "allowedRegions":[]}],
            "services":[{"name":"huvo11a","healthPath":"/health","maxConnections":220,
             "protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":7.1}],
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,
             "idleTimeoutS":15}}
            """;

    private final Record record;
    final Store store = new Store();
    final List<Upstream> upstreams = new ArrayList<>();
    final List<Instance> instances = new ArrayList<>();

    /**
     * Writes the first configuration.
     *
     * @param record gets a line for each request that an upstream begins to run
     * @param timeoutSeconds longest time that the operator wants a request kept waiting
     * @param targetSeconds time within which a response earns its full credit
     */
    Deployment(Record record, double timeoutSeconds, double targetSeconds) throws IOException {
        this.record = record;
        String config =
                String.format(
                        java.util.Locale.ROOT,
                        CONFIG,
                        7,
                        timeoutSeconds,
                        targetSeconds,
                        timeoutSeconds,
                        targetSeconds);
        store.put("config", "main", config.replace("HOST", HOST).replace("\n", ""));
    }

    void add(Upstream upstream) {
        upstream.record = record;
        upstreams.add(upstream);
        store.put("servers", upstream.id, upstream.spec("ready", 1));
    }

    /** Starts instances and waits until they are ready and in touch. */
    void start(int count) throws IOException, InterruptedException {
        for (int i = 1; i <= count; i++) {
            instances.add(new Instance("front-fleuve-a-" + i, "fleuve-a", "fleuve", store));
        }
        for (Instance instance : instances) {
            instance.awaitReady();
        }
        Thread.sleep(IN_TOUCH_MILLIS);
    }

    @Override
    public void close() {
        instances.forEach(Instance::close);
        upstreams.forEach(Upstream::close);
        store.close();
    }
}
