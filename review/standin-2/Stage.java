import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The platform's store, the upstreams and the instances of a case. */
final class Stage implements AutoCloseable {
    private static final long READY_MILLIS = 20_000;

    final StoreServer store = new StoreServer();
    final List<Upstream> upstreams = new ArrayList<>();
    final List<Instance> instances = new ArrayList<>();
    private final Path temporary;

    Stage(Path temporary) throws IOException {
        this.temporary = temporary;
    }

    /** Starts an upstream, which registers itself as ready. */
    Upstream addUpstream(String service, String zone, int slots, Upstream.Work work)
            throws IOException {
        Upstream upstream = new Upstream("i-" + upstreams.size(), service, zone, slots, work);
        upstreams.add(upstream);
        store.put("servers", upstream.id, upstream.entry("ready", 1));
        return upstream;
    }

    /** Starts an upstream, which registers itself as cold. */
    Upstream addCold(
            String service, String zone, int slots, Upstream.Work work, double warmUpSeconds)
            throws IOException {
        Upstream upstream = new Upstream("i-" + upstreams.size(), service, zone, slots, work);
        upstreams.add(upstream);
        store.put("servers", upstream.id, upstream.entry("ready", 1, warmUpSeconds));
        return upstream;
    }

    /** Starts an instance in each of some zones, and waits until all say that they are ready. */
    void startInstances(String... zones) throws IOException, InterruptedException {
        for (String zone : zones) {
            String name = "front-" + instances.size();
            instances.add(new Instance(name, zone, store, temporary));
        }
        for (Instance each : instances) {
            if (!each.awaitReady(READY_MILLIS)) {
                throw new IOException(each.name() + " is not ready");
            }
        }
    }

    /** Returns the upstreams at which a request has run. */
    List<Upstream> ranAt(String requestId) {
        return upstreams.stream()
                .filter(each -> each.runs.stream().anyMatch(run -> run.id().equals(requestId)))
                .toList();
    }

    @Override
    public void close() throws IOException {
        instances.forEach(Instance::close);
        for (Upstream each : upstreams) {
            each.close();
        }
        store.close();
    }
}
