package org.snipeslip.standin.bench;

import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/** Entry instances as separate processes on loopback, started from the executable jar. */
final class Fleet implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final int CALLER_OFFSET = 200;
    private static final int OPERATOR_OFFSET = 250;
    private static final int PEER_OFFSET = 300;
    private static final int SEED_PEERS = 3;
    private static final String HEAP_LIMIT = "-Xmx96m";

    private final Path jar;
    private final Path directory;
    private final int basePort;
    private final int size;
    private final int failureDomains;
    private final List<Process> processes = new ArrayList<>();

    Fleet(Path jar, Path directory, int basePort, int size, int failureDomains) throws IOException {
        this.jar = jar;
        this.directory = directory;
        this.basePort = basePort;
        this.size = size;
        this.failureDomains = failureDomains;
        Files.createDirectories(directory);
        for (int i = 0; i < size; i++) {
            processes.add(start(i));
        }
    }

    int size() {
        return size;
    }

    Process process(int index) {
        return processes.get(index);
    }

    List<URI> callerOrigins() {
        return origins(CALLER_OFFSET);
    }

    List<URI> operatorOrigins() {
        return origins(OPERATOR_OFFSET);
    }

    void restart(int index) throws IOException {
        processes.set(index, start(index));
    }

    /** Sends a signal such as STOP, CONT, TERM or KILL to one instance. */
    void signal(int index, String name) throws IOException, InterruptedException {
        String processId = Long.toString(processes.get(index).pid());
        new ProcessBuilder("kill", "-" + name, processId).start().waitFor();
    }

    private Process start(int index) throws IOException {
        Path settings = directory.resolve("entry-" + index + ".yaml");
        Files.writeString(settings, settings(index));
        Path log = directory.resolve("entry-" + index + ".log");
        return new ProcessBuilder(
                        ProcessHandle.current().info().command().orElse("java"),
                        HEAP_LIMIT,
                        "-XX:+UseSerialGC",
                        "-jar",
                        jar.toString(),
                        "run",
                        "--settings",
                        settings.toString())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())))
                .start();
    }

    private String settings(int index) {
        StringBuilder peers = new StringBuilder();
        for (int i = 0; i < Math.min(SEED_PEERS, size); i++) {
            peers.append("\n  - \"").append(address(PEER_OFFSET + i)).append('"');
        }
        int failureDomain = index % failureDomains;
        return """
        instance: entry-%d
        failureDomain: fd-%d
        region: %s
        callerAddress: "%s"
        operatorAddress: "%s"
        peerAddress: "%s"
        peerKey: "loopback-bench-key-of-32-bytes-00"
        peers:%s
        objectApi: "http://%s"
        ioThreads: 1
        instances: %d
        log:
          decisions: "off"
        """
                .formatted(
                        index,
                        failureDomain,
                        org.snipeslip.standin.DeploymentRegions.regionOf(failureDomain),
                        address(CALLER_OFFSET + index),
                        address(OPERATOR_OFFSET + index),
                        address(PEER_OFFSET + index),
                        peers,
                        address(0),
                        size);
    }

    private List<URI> origins(int offset) {
        return IntStream.range(0, size)
                .mapToObj(i -> URI.create("http://" + address(offset + i)))
                .toList();
    }

    private String address(int offset) {
        return HOST + ":" + (basePort + offset);
    }

    @Override
    public void close() throws IOException {
        processes.forEach(Process::destroy);
        for (Process process : processes) {
            try {
                if (!process.waitFor(10, TimeUnit.SECONDS)) {
                    process.destroyForcibly();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                process.destroyForcibly();
            }
        }
    }
}
