package org.snipeslip.standin;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import org.snipeslip.core.call.CallSettings;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.InstanceId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.instance.InstanceSettings;
import org.snipeslip.core.instance.StopSettings;
import org.snipeslip.core.peer.PeerAddress;
import org.snipeslip.core.spread.ControlSettings;
import org.snipeslip.peer.PeerKey;
import org.snipeslip.server.config.ConfigJson;
import org.snipeslip.server.runtime.EntryProcess;
import org.snipeslip.server.settings.ProcessSettings;

/** Runs several entry instances against embedded stand-ins and reports latencies. */
public final class Demo {
    private static final String HOST = "127.0.0.1";
    private static final int STORE_PORT = 18_000;
    private static final int BACKEND_PORT = 18_100;
    private static final int CALLER_PORT = 18_200;
    private static final int OPERATOR_PORT = 18_300;
    private static final int PEER_PORT = 18_400;
    private static final int INSTANCES = 3;
    private static final int BACKEND_SERVERS = 6;
    private static final int SLOTS = 4;
    private static final long SERVICE_MICROS = 2_000;
    private static final int QUEUE_LIMIT = 64;
    private static final int READY_TRIES = 200;

    private final PrintStream out;

    /**
     * Creates a demo.
     *
     * @param out takes the report
     */
    public Demo(PrintStream out) {
        this.out = out;
    }

    /**
     * Runs the demo.
     *
     * @param seconds length of each load run
     * @param callsPerSecond rate of the load
     * @return the number of failed calls
     * @throws IOException if a port cannot be opened
     * @throws InterruptedException if the thread is interrupted
     */
    public long run(int seconds, int callsPerSecond) throws IOException, InterruptedException {
        List<AutoCloseable> open = new ArrayList<>();
        try (LoadGenerator load = new LoadGenerator()) {
            open.add(new ObjectApiStandIn(HOST, STORE_PORT));
            List<URI> direct = new ArrayList<>();
            for (int i = 0; i < BACKEND_SERVERS; i++) {
                open.add(
                        new BackendServerStandIn(
                                HOST, BACKEND_PORT + i, SLOTS, SERVICE_MICROS, QUEUE_LIMIT, i));
                direct.add(origin(BACKEND_PORT + i));
            }
            publish();
            List<URI> entries = new ArrayList<>();
            for (int i = 0; i < INSTANCES; i++) {
                open.add(new EntryProcess(settings(i)));
                entries.add(origin(CALLER_PORT + i));
            }
            awaitReady(load);
            LoadReportSummary through = load.run(entries, "/marees", callsPerSecond, seconds);
            LoadReportSummary without = load.run(direct, "/marees", callsPerSecond, seconds);
            report("through snipeslip", through);
            report("directly", without);
            return through.failures();
        } finally {
            close(open);
        }
    }

    private static void publish() throws IOException, InterruptedException {
        ConfigJson codec = new ConfigJson();
        List<String> objects = new ArrayList<>();
        objects.add("{\"kind\":\"HomeRegion\",\"name\":\"fleuve\",\"hostsObjectApi\":true}");
        objects.add("{\"kind\":\"FailureDomain\",\"name\":\"fleuve-1\",\"homeRegion\":\"fleuve\"}");
        StringBuilder servers = new StringBuilder();
        for (int i = 0; i < BACKEND_SERVERS; i++) {
            servers.append(i == 0 ? "" : ",")
                    .append(
                            "{\"name\":\"marees-%d\",\"host\":\"%s\",\"port\":%d,"
                                    .formatted(i, HOST, BACKEND_PORT + i))
                    .append("\"failureDomain\":\"fleuve-1\",\"slots\":" + SLOTS + "}");
        }
        objects.add(
                "{\"kind\":\"Service\",\"name\":\"marees\",\"backendServers\":[" + servers + "]}");
        objects.add(
                "{\"kind\":\"Route\",\"name\":\"tides\",\"pathPrefix\":\"/marees\","
                        + "\"service\":\"marees\"}");
        SmallPublisher publisher = new SmallPublisher(origin(STORE_PORT));
        List<String> digests = new ArrayList<>();
        for (String object : objects) {
            String digest = codec.digest(object);
            digests.add(digest);
            publisher.create(ConfigHead.PART_PREFIX + digest, object);
        }
        ConfigHead head = new ConfigHead(new Generation(1), "demo", digests);
        publisher.create(ConfigHead.KEY, codec.encodeHead(head));
    }

    private static ProcessSettings settings(int index) {
        InstanceSettings instance =
                new InstanceSettings(
                        new InstanceId("entry-" + index),
                        new FailureDomainId("fleuve-1"),
                        new RegionId("fleuve"),
                        new PeerAddress(HOST, PEER_PORT + index),
                        System.currentTimeMillis(),
                        CallSettings.DEFAULT,
                        ControlSettings.DEFAULT.withSeeds(
                                List.of(new PeerAddress(HOST, PEER_PORT))),
                        StopSettings.DEFAULT);
        return new ProcessSettings(
                instance,
                InetSocketAddress.createUnresolved(HOST, CALLER_PORT + index),
                InetSocketAddress.createUnresolved(HOST, OPERATOR_PORT + index),
                origin(STORE_PORT),
                1,
                index,
                new PeerKey("demo-key-of-16-bytes-or-more"));
    }

    private static void awaitReady(LoadGenerator load) throws InterruptedException {
        for (int i = 0; i < INSTANCES; i++) {
            int tries = 0;
            while (load.run(List.of(origin(OPERATOR_PORT + i)), "/ready", 1, 1).failures() > 0) {
                if (++tries == READY_TRIES) {
                    throw new IllegalStateException("instance " + i + " did not become ready");
                }
            }
        }
    }

    private void report(String label, LoadReportSummary summary) {
        out.printf(
                "%-18s calls %d results %s p50 %.2f ms p99 %.2f ms p99.9 %.2f ms%n",
                label,
                summary.latencyMicros().getTotalCount(),
                summary.results(),
                summary.millisAt(50),
                summary.millisAt(99),
                summary.millisAt(99.9));
    }

    private static URI origin(int port) {
        return URI.create("http://" + HOST + ":" + port);
    }

    private static void close(List<AutoCloseable> open) {
        for (AutoCloseable resource : open.reversed()) {
            try {
                resource.close();
            } catch (Exception e) {
                throw new IllegalStateException("a stand-in did not close", e);
            }
        }
    }
}
