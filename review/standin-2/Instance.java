import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** An instance, started with the command of the deploy file in a process of its own. */
final class Instance implements AutoCloseable {
    private final String name;
    private final Path folder;
    private final Path settings;
    private final int front;
    private final int ready;
    private Process process;

    /** Starts an instance; the region of zone "za1" or "zb1" is "r1". */
    Instance(String name, String zone, StoreServer store, Path folder) throws IOException {
        this.name = name;
        this.folder = folder;
        front = freePort();
        ready = freePort();
        int internal = freePort();
        List<String> lines = new ArrayList<>();
        lines.add("node=" + name);
        lines.add("role=entry");
        lines.add("machineClass=front");
        lines.add("serves=front");
        lines.add("ip=127.0.0.1");
        lines.add("zone=" + zone);
        lines.add("region=r" + zone.charAt(2));
        for (int r = 1; r <= 3; r++) {
            lines.add("zones.za" + r + "=r" + r);
            lines.add("zones.zb" + r + "=r" + r);
        }
        lines.add("listen.front=127.0.0.1:" + front);
        lines.add("listen.ready=127.0.0.1:" + ready);
        lines.add("internalPorts=" + internal + "," + (internal + 1));
        lines.add("bootstrap=true");
        lines.add("limits.cpuShare=0.6");
        lines.add("limits.cores=1");
        lines.add("limits.memoryMb=430");
        lines.add("limits.maxFds=4100");
        lines.add("limits.linkMbps=1000.0");
        lines.add("discovery=platform");
        lines.add("entry=vip");
        lines.add("heartbeatS=1.5");
        lines.add("contracts=base,drain,config,cost,retry,recover,health,places,platform");
        lines.add("bounds.seedLagS=3");
        lines.add("bounds.reuseAfterS=2");
        lines.add("bounds.contactS=3");
        lines.add("bounds.ackS=4");
        lines.add("bounds.catchUpS=4");
        lines.add("bounds.drainS=2");
        lines.add("bounds.graceS=6");
        lines.add("bounds.lossSlackS=0.2");
        lines.add("bounds.configS=2");
        lines.add("bounds.rollbackSlackS=0.25");
        lines.add("bounds.skewMaxS=5");
        lines.add("bounds.retryBudgetRatio=0.2");
        lines.add("bounds.budgetWindowS=10");
        lines.add("bounds.budgetSlack=58");
        lines.add("bounds.warmupFactor=1.5");
        lines.add("bounds.warmupSlack=5");
        lines.add("bounds.evacuateS=5");
        lines.add("bounds.recoverS=15");
        lines.add("bounds.probesPerS=60");
        lines.add("platform.address=127.0.0.1:" + store.port());
        lines.add("platform.form=objects");
        lines.add("platform.writesPerS=400");
        lines.add("platform.readsPerS=2000");
        lines.add("platform.historyS=20");
        lines.add("platform.valueBytes=1048576");
        lines.add("platform.ttlMinS=1");
        settings = folder.resolve(name + ".conf");
        Files.write(settings, lines);
        start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    String name() {
        return name;
    }

    int front() {
        return front;
    }

    void start() throws IOException {
        String run =
                Files.readAllLines(Path.of("deploy/system.toml")).stream()
                        .filter(line -> line.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        String command = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
        Path log = folder.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder(command.split(" "));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("SNIPESLIP_BOOT", settings.toString());
        process =
                builder.redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
    }

    /** Waits until the readiness port answers with 200; returns whether it did. */
    boolean awaitReady(long limitMillis) throws InterruptedException {
        long endNanos = System.nanoTime() + limitMillis * 1_000_000;
        while (System.nanoTime() < endNanos) {
            if (readiness() == 200) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Asks the readiness port as the platform does; returns the status, or 0 without answer. */
    int readiness() {
        try (Socket socket = new Socket("127.0.0.1", ready)) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write("GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n".getBytes());
            return Http.readHead(socket.getInputStream()).status();
        } catch (IOException | RuntimeException e) {
            return 0;
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }
}
