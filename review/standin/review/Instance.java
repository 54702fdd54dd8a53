package review;

import java.io.IOException;
import java.net.BindException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the project, started with the command of the deploy file. */
final class Instance implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Path BOOT_DIR = Path.of("review/target/boot");
    private static final long READY_MILLIS = 30_000;
    private static final int MIN_PORT = 16_000;
    private static final int MAX_PORT = 31_000;

    final int frontPort;
    private final int readyPort;
    private final Process process;

    Instance(String name, String zone, String region, Store store) throws IOException {
        List<Integer> ports = freePorts(5);
        frontPort = ports.get(0);
        readyPort = ports.get(1);
        Files.createDirectories(BOOT_DIR);
        Path directory = Files.createTempDirectory(BOOT_DIR, name);
        Path boot = directory.resolve("boot.conf");
        Files.writeString(
                boot,
                """
                node=%s
                role=entry
                machineClass=front
                serves=front
                ip=127.0.0.1
                zone=%s
                region=%s
                zones.fleuve-a=fleuve
                zones.fleuve-b=fleuve
                zones.capvert-a=cap-vert
                zones.casa-a=casamance
                listen.front=127.0.0.1:%d
                listen.ready=127.0.0.1:%d
                listen.control=127.0.0.1:%d
                internalPorts=%d,%d
                bootstrap=true
                limits.cpuShare=0.6
                limits.cores=1
                limits.memoryMb=430
                limits.maxFds=4100
                heartbeatS=1.5
                bounds.contactS=3
                bounds.drainS=2
                bounds.graceS=6
                bounds.lossSlackS=0.2
                bounds.configS=2
                bounds.retryBudgetRatio=0.2
                bounds.budgetWindowS=10
                bounds.budgetSlack=58
                bounds.warmupFactor=1.5
                bounds.warmupSlack=5
                bounds.evacuateS=5
                bounds.probesPerS=60
                platform.address=%s
                platform.form=objects
                platform.writesPerS=400
                platform.readsPerS=2000
                platform.historyS=20
                platform.valueBytes=1048576
                """
                        .formatted(
                                name,
                                zone,
                                region,
                                frontPort,
                                readyPort,
                                ports.get(2),
                                ports.get(3),
                                ports.get(4),
                                store.address()));
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no command in deploy/system.toml");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.environment().clear();
        builder.environment().put("PATH", System.getenv("PATH"));
        builder.environment().put("SNIPESLIP_BOOT", boot.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(directory.resolve("log.txt").toFile());
        process = builder.start();
    }

    /** Waits until the readiness check succeeds. */
    void awaitReady() throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + READY_MILLIS * 1_000_000;
        while (System.nanoTime() < endNanos) {
            if (isReady()) {
                return;
            }
            Thread.sleep(100);
        }
        throw new IOException("instance is not ready after " + READY_MILLIS + " ms");
    }

    boolean isReady() {
        try {
            URI uri = URI.create("http://127.0.0.1:" + readyPort + "/v1/readiness");
            HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
            connection.setConnectTimeout(1_000);
            connection.setReadTimeout(1_000);
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends a signal to the process, by its id. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Chooses free ports below those that the kernel gives to outgoing connections. */
    private static List<Integer> freePorts(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        while (ports.size() < count) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            if (!ports.contains(port) && isFree(port)) {
                ports.add(port);
            }
        }
        return ports;
    }

    private static boolean isFree(int port) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress("127.0.0.1", port));
            return true;
        } catch (BindException e) {
            return false;
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
