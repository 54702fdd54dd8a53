package org.snipeslip.server.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.config.ConfigSet;
import org.snipeslip.core.config.HomeRegion;
import org.snipeslip.core.config.Service;
import org.snipeslip.core.error.ConfigFault;
import org.snipeslip.core.id.Generation;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.ServiceId;
import org.snipeslip.server.settings.SettingsReader;

/** Guards against valid example files that are rejected and faulty ones that are accepted. */
class ExamplesTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    static List<Path> faulty() throws IOException {
        return yamlFiles("faulty");
    }

    private static List<Path> yamlFiles(String folder) throws IOException {
        try (Stream<Path> files = Files.list(EXAMPLES.resolve(folder))) {
            return files.filter(file -> file.toString().endsWith(".yaml")).sorted().toList();
        }
    }

    /** The first line of each file is "# object | field | rule", with "-" for an empty value. */
    @ParameterizedTest
    @MethodSource("faulty")
    void reportsObjectFieldAndRuleOfFaultyExample(Path file) throws IOException {
        String[] expected = Files.readAllLines(file).getFirst().substring(2).split(" \\| ");
        List<ConfigFault> faults = new ConfigYaml().read(List.of(file)).check();
        assertThat(faults)
                .singleElement()
                .satisfies(
                        fault -> {
                            assertThat(orDash(fault.object())).isEqualTo(expected[0]);
                            assertThat(orDash(fault.field())).isEqualTo(expected[1]);
                            assertThat(fault.rule().name()).isEqualTo(expected[2]);
                        });
    }

    private static String orDash(String text) {
        return text.isEmpty() ? "-" : text;
    }

    /** Guards against a parameterised test that runs without any case. */
    @Test
    void hasFaultyExamples() throws IOException {
        assertThat(faulty()).hasSizeGreaterThanOrEqualTo(15);
    }

    /** The expected figures are those of section 1.3 of the design. */
    @ParameterizedTest
    @CsvSource({
        "saint-louis, fleuve, 2, 220, marees 12 editions 12 abonnes 12 calendriers 12",
        "ghana, greater-accra, 4, 260, stockdesk 15 paydesk 12 jobdesk 12 recordroom 12"
    })
    void acceptsFullConfiguration(
            String folder, String apiRegion, int slots, int connections, String services)
            throws IOException {
        ConfigInput input = new ConfigYaml().read(yamlFiles(folder));
        assertThat(input.check()).isEmpty();
        ConfigSet set = ConfigSet.of(new Generation(1), input.configObjects());
        assertThat(set.homeRegions()).hasSize(3);
        assertThat(set.homeRegions().values().stream().filter(HomeRegion::hostsObjectApi))
                .extracting(HomeRegion::id)
                .containsExactly(new RegionId(apiRegion));
        assertThat(set.failureDomains()).hasSize(6);
        String[] expected = services.split(" ");
        assertThat(set.services()).hasSize(expected.length / 2);
        for (int i = 0; i < expected.length; i += 2) {
            Service service = set.services().get(new ServiceId(expected[i]));
            assertThat(service.backendServers())
                    .hasSize(Integer.parseInt(expected[i + 1]))
                    .allMatch(s -> s.slots() == slots && s.connectionLimit() == connections);
            assertThat(service.backendServers().stream().map(BackendServer::failureDomain))
                    .containsAll(set.failureDomains().keySet());
        }
        Path settings = EXAMPLES.resolve(folder).resolve("instance").resolve("entry-1.yaml");
        assertThat(new SettingsReader().read(settings, 1).isRight()).isTrue();
    }
}
