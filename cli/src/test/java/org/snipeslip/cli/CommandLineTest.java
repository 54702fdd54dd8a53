package org.snipeslip.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipeslip.server.runtime.EntryProcess;
import org.snipeslip.server.settings.ProcessSettings;
import org.snipeslip.server.settings.SettingsReader;
import org.snipeslip.standin.ObjectApiStandIn;

/** Guards against exit codes and outputs that mislead a script. */
class CommandLineTest {
    private static final String OBJECTS =
            """
            {kind: HomeRegion, name: fleuve, hostsObjectApi: true}
            ---
            {kind: FailureDomain, name: fleuve-1, homeRegion: fleuve}
            ---
            {kind: Organisation, name: mosques, weight: %d}
            """;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @TempDir Path directory;

    private int run(String... args) throws InterruptedException {
        out.reset();
        err.reset();
        Console console = new Console(new PrintStream(out), new PrintStream(err), attempts -> {});
        return new CommandLine().run(List.of(args), console).code();
    }

    private String out() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private String err() {
        return err.toString(StandardCharsets.UTF_8);
    }

    private String writeFile(String name, String text) throws IOException {
        return Files.writeString(directory.resolve(name), text).toString();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "check", "publish", "diff", "get", "status", "domain", "explain", "run", "standin",
                "demo", "version"
            })
    void helpGoesToStandardOutput(String command) throws InterruptedException {
        assertThat(run(command, "--help")).isZero();
        assertThat(out()).startsWith("usage: snipeslip " + command).contains("Exit codes:");
        assertThat(err()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "unknown",
                "check",
                "check --unknown",
                "publish f",
                "publish f --object-api x",
                "get Cluster --object-api http://127.0.0.1:1",
                "status",
                "run",
                "standin --port 1",
                "domain leave --object-api http://127.0.0.1:1",
                "demo --seconds x",
                "domain stop d --object-api http://127.0.0.1:1",
                "explain --operator http://127.0.0.1:1",
                "diff f --object-api https://127.0.0.1:1"
            })
    void usageErrorsGoToStandardError(String line) throws InterruptedException {
        assertThat(run(line.isEmpty() ? new String[0] : line.split(" "))).isEqualTo(64);
        assertThat(out()).isEmpty();
        assertThat(err()).contains("usage: snipeslip");
    }

    @Test
    void checkDistinguishesFaultsFromUnreadableFiles() throws IOException, InterruptedException {
        assertThat(run("check", writeFile("good.yaml", OBJECTS.formatted(1)))).isZero();
        String bad = writeFile("bad.yaml", OBJECTS.formatted(0));
        assertThat(run("check", bad)).isEqualTo(2);
        assertThat(err()).contains(bad + ": Organisation mosques: weight: OUT_OF_RANGE");
        assertThat(run("check", "--json", bad)).isEqualTo(2);
        assertThat(out()).contains("\"rule\" : \"OUT_OF_RANGE\"");
        assertThat(run("check", directory.resolve("none.yaml").toString())).isEqualTo(65);
        assertThat(run("run", "--settings", bad)).isEqualTo(65);
    }

    /** Guards against commands that fail when they use the object API over HTTP. */
    @Test
    void publishesReadsSwitchesDomainsAndCompares() throws IOException, InterruptedException {
        int port = freePort();
        String api = "http://127.0.0.1:" + port;
        String configFile = writeFile("a.yaml", OBJECTS.formatted(1));
        try (ObjectApiStandIn standIn = new ObjectApiStandIn("127.0.0.1", port)) {
            assertThat(run("publish", configFile, "--object-api", api)).as(err()).isZero();
            assertThat(out()).contains("generation 1 published", "ADDED   Organisation mosques");
            assertThat(run("publish", configFile, "--object-api", api)).isZero();
            assertThat(out()).contains("generation 1 has these objects already");

            assertThat(run("domain", "leave", "fleuve-1", "--object-api", api)).isZero();
            assertThat(out()).contains("generation 2", "CHANGED FailureDomain fleuve-1: inService");
            assertThat(run("domain", "leave", "none", "--object-api", api)).isEqualTo(1);

            assertThat(run("get", "--object-api", api)).isZero();
            String exported = writeFile("exported.yaml", out());
            assertThat(run("check", exported)).isZero();
            assertThat(run("diff", exported, "--exit-code", "--object-api", api)).isZero();
            assertThat(run("diff", configFile, "--exit-code", "--object-api", api)).isEqualTo(1);
            assertThat(out()).contains("CHANGED FailureDomain fleuve-1: inService");
            assertThat(run("get", "organisation", "none", "--object-api", api)).isEqualTo(1);

            assertThat(run("publish", configFile, "--expect-generation", "1", "--object-api", api))
                    .isEqualTo(75);
            assertThat(run("publish", configFile, "--expect-generation", "2", "--object-api", api))
                    .isZero();
            assertThat(err()).contains("warning: the files take failure domain fleuve-1 into");
            assertThat(run("status", "--object-api", api, "--json")).isZero();
            assertThat(out()).contains("\"generation\" : 3");
        }
    }

    /** Guards against commands that cannot parse the responses of an operator port. */
    @Test
    void readsTheOperatorPortOfAnInstance() throws IOException, InterruptedException {
        int operatorPort = freePort();
        String settings =
                """
                {instance: entry-1, failureDomain: fleuve-1, region: fleuve,
                 callerAddress: "127.0.0.1:%d", operatorAddress: "127.0.0.1:%d",
                 peerAddress: "127.0.0.1:%d", objectApi: "http://127.0.0.1:%d"}
                """
                        .formatted(freePort(), operatorPort, freePort(), freePort());
        ProcessSettings processSettings = new SettingsReader().parse(settings, directory, 1).get();
        String operator = "http://127.0.0.1:" + operatorPort;
        try (EntryProcess process = new EntryProcess(processSettings)) {
            assertThat(run("status", "--json", "--operators", operator)).isZero();
            assertThat(out()).contains("\"ready\" : false", "\"generation\" : 0");
            assertThat(run("explain", "unknown", "--operator", operator)).isEqualTo(1);
        }
    }

    /** Guards against commands, exit codes and keys that are missing from the README. */
    @Test
    void readmeNamesCommandsExitCodesAndKeys() throws IOException, InterruptedException {
        String readme = Files.readString(Path.of("..", "README.md"));
        for (ExitCode exitCode : ExitCode.values()) {
            assertThat(readme).contains("| " + exitCode.code() + " | ");
        }
        run("--help");
        List<String> commands =
                out().lines()
                        .filter(line -> line.matches("  [a-z]+ .*"))
                        .map(line -> line.strip().split(" ")[0])
                        .toList();
        assertThat(commands)
                .hasSize(12)
                .allSatisfy(command -> assertThat(readme).contains("| `" + command));
        run("run", "--settings", writeFile("unknown.yaml", "unknown: 1\n"));
        String keys = err().replaceAll("(?s).*allowed \\[([^]]*)].*", "$1");
        assertThat(keys.split(", "))
                .hasSizeGreaterThan(15)
                .allSatisfy(key -> assertThat(readme).containsPattern("`" + key + "[`.]"));
    }

    /** Guards against success reported while the object API or an instance is down. */
    @ParameterizedTest
    @CsvSource({
        "get --object-api",
        "domain leave d --object-api",
        "status --object-api",
        "status --operators",
        "explain r --operator"
    })
    void reportsUnavailable(String line) throws IOException, InterruptedException {
        String[] args = (line + " http://127.0.0.1:" + freePort()).split(" ");
        assertThat(run(args)).isEqualTo(69);
    }
}
