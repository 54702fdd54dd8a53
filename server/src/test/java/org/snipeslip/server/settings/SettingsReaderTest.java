package org.snipeslip.server.settings;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipeslip.core.instance.StopSettings;
import org.snipeslip.core.peer.PeerAddress;
import org.snipeslip.server.settings.SettingsFault.Rule;

/** Guards against typing errors in settings that start an instance with default values. */
class SettingsReaderTest {
    private static final String REQUIRED =
            """
            instance: entry-1
            failureDomain: fleuve-1
            region: fleuve
            callerAddress: 127.0.0.1:8080
            operatorAddress: "[::1]:8081"
            peerAddress: 127.0.0.1:8082
            objectApi: http://127.0.0.1:8000
            """;

    @TempDir Path folder;

    private Either<List<SettingsFault>, ProcessSettings> read(String text) {
        return new SettingsReader().parse(text, folder, 7);
    }

    @Test
    void fillsMissingGroupsWithDefaults() {
        ProcessSettings settings = read(REQUIRED).get();
        assertThat(settings)
                .isEqualTo(
                        new ProcessSettings(
                                settings.instance(),
                                settings.callerAddress(),
                                settings.operatorAddress(),
                                settings.objectApi(),
                                ProcessSettings.DEFAULT_IO_THREADS,
                                7));
        assertThat(settings.instance().stop()).isEqualTo(StopSettings.DEFAULT);
        assertThat(settings.operatorAddress().getHostString()).isEqualTo("::1");
    }

    @Test
    void readsEveryGroup() throws IOException {
        Files.writeString(folder.resolve("key"), "0123456789abcdef\n");
        ProcessSettings settings =
                read(REQUIRED
                                + """
                                peerKeyFile: key
                                peers: ["127.0.0.2:8082"]
                                ioThreads: 3
                                instances: 17
                                selection: power-of-two
                                limits: {headerBytes: 2048, bodyBytes: 5000000000, queue: 9}
                                measuring: {bytesPerSecond: 1, callsPerSecond: 2,
                                  crossRegionBytesPerSecond: 3, crossRegionCallsPerSecond: 4}
                                objectApiBudget: {callsPerSecond: 5, burst: 6}
                                stop: {balancerWaitMillis: 0, timeLimitMillis: 1000}
                                log: {decisions: off, sampleEvery: 8}
                                """)
                        .get();
        assertThat(settings.peers())
                .isEqualTo(
                        new PeerSettings(
                                "0123456789abcdef", List.of(new PeerAddress("127.0.0.2", 8082))));
        assertThat(settings.toString()).doesNotContain("0123456789abcdef");
        assertThat(settings.ioThreads()).isEqualTo(3);
        assertThat(settings.instances()).isEqualTo(17);
        assertThat(settings.selection()).isEqualTo(SelectionName.POWER_OF_TWO);
        assertThat(settings.limits()).isEqualTo(new LimitSettings(2_048, 5_000_000_000L, 9));
        assertThat(settings.instance().call().queueLimit()).isEqualTo(9);
        assertThat(settings.measuring()).isEqualTo(new MeasurementBudget(1, 2, 3, 4));
        assertThat(settings.objectApiBudget()).isEqualTo(new ObjectApiBudget(5, 6));
        assertThat(settings.instance().stop()).isEqualTo(new StopSettings(0, 1_000));
        assertThat(settings.log()).isEqualTo(new LogSettings(LogSettings.Decisions.OFF, 8));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    ioThread: 2                | ioThread          | UNKNOWN_KEY   | ioThreads
                    limits: {body: 2}          | limits.body       | UNKNOWN_KEY   | bodyBytes
                    ioThreads: 0               | ioThreads         | OUT_OF_RANGE  | from 1 to 64
                    ioThreads: "2"             | ioThreads         | WRONG_TYPE    | from 1 to 64
                    limits: {queue: 1025}      | limits.queue      | OUT_OF_RANGE  | from 1 to 1024
                    limits: 5                  | limits            | WRONG_TYPE    | headerBytes
                    selection: fastest         | selection         | OUT_OF_RANGE  | round-robin
                    log: {decisions: true}     | log.decisions     | OUT_OF_RANGE  | on, off, sample
                    peerKey: short             | peerKey           | OUT_OF_RANGE  | 16 to 1024
                    peers: ["127.0.0.1"]       | peers[0]          | OUT_OF_RANGE  | IP:PORT
                    peers: ["127.0.0.1:1"]     | peerKeyFile       | MISSING_KEY   | peerKey
                    peerKeyFile: none          | peerKeyFile       | UNREADABLE    | none
                    stop: {timeLimitMillis: 5000} | stop.balancerWaitMillis | CONTRADICTION | 5000
                    ioThreads: [               | ''                | SYNTAX        | ''
                    region: other              | ''                | SYNTAX        | region
                    """)
    void reportsKeyAndAllowedRange(String line, String key, Rule rule, String detail) {
        assertThat(read(REQUIRED + line + "\n").getLeft())
                .singleElement()
                .satisfies(
                        fault -> {
                            assertThat(fault.key()).isEqualTo(key);
                            assertThat(fault.rule()).isEqualTo(rule);
                            assertThat(fault.detail()).contains(detail);
                        });
    }

    /** Guards against host names, which would be resolved at start, and against line breaks. */
    @ParameterizedTest
    @CsvSource({
        "callerAddress, localhost:80",
        "callerAddress, 127.0.0.1:0",
        "peerAddress, 127.0.0.1:65536",
        "operatorAddress, 127.0.0.256:80",
        "operatorAddress, '127.0.0.1:80\\\\n'",
        "instance, 'entry-1\\\\n'",
        "objectApi, http://store.example:80",
        "objectApi, http://127.0.0.1:99999",
        "objectApi, https://127.0.0.1:80"
    })
    void rejectsMalformedValue(String key, String value) {
        String text = REQUIRED.replaceAll("(?m)^" + key + ": .*$", key + ": \"" + value + "\"");
        assertThat(read(text).getLeft())
                .singleElement()
                .satisfies(fault -> assertThat(fault.key()).isEqualTo(key));
    }

    @Test
    void reportsEveryMissingKey() {
        assertThat(read("{}").getLeft())
                .hasSize(7)
                .allSatisfy(fault -> assertThat(fault.rule()).isEqualTo(Rule.MISSING_KEY));
        assertThat(new SettingsReader().read(folder.resolve("none"), 1).getLeft())
                .extracting(SettingsFault::rule)
                .containsExactly(Rule.UNREADABLE);
    }
}
