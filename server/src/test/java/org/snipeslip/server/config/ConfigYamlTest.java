package org.snipeslip.server.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.groups.Tuple.tuple;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipeslip.core.config.ConfigObject;
import org.snipeslip.core.error.ConfigFault;
import org.snipeslip.core.error.ConfigFault.Rule;

/** Guards against typing errors in a file that are accepted and read as default values. */
class ConfigYamlTest {
    private static final String SERVER = "{name: a, host: 127.0.0.1, port: 80, failureDomain: d";

    private final ConfigYaml yaml = new ConfigYaml();
    private final ConfigJson json = new ConfigJson();

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    ROUTE hosts: a} | hosts | UNKNOWN_FIELD
                    {kind: Route, name: r} | service | MISSING_FIELD
                    {kind: Route, service: s} | name | MISSING_FIELD
                    {kind: Route, name: r, service: 7} | service | WRONG_TYPE
                    {kind: Route, name: r, service: null} | service | WRONG_TYPE
                    ROUTE methods: GET} | methods | WRONG_TYPE
                    ROUTE methods: [1]} | methods[0] | WRONG_TYPE
                    ROUTE deadlineMillis: "9"} | deadlineMillis | WRONG_TYPE
                    ROUTE deadlineMillis: 1.5} | deadlineMillis | WRONG_TYPE
                    ROUTE split: s} | split | WRONG_TYPE
                    ROUTE split: [s]} | split[0] | WRONG_TYPE
                    ROUTE split: [{weight: 1}]} | split[0].service | MISSING_FIELD
                    ROUTE split: [{service: s, share: 1}]} | split[0].share | UNKNOWN_FIELD
                    ROUTE maxTries: many} | maxTries | WRONG_TYPE
                    ROUTE callClass: SLOW} | callClass | OUT_OF_RANGE
                    {kind: Organisation, name: o, weight: 9999999999} | weight | OUT_OF_RANGE
                    {kind: Organisation, name: " "} | name | INVALID_FORMAT
                    {kind: FailureDomain, name: d, homeRegion: r, inService: 0}|inService|WRONG_TYPE
                    {kind: Service, name: s, backendServers: [7]} | backendServers[0] | WRONG_TYPE
                    {kind: Cluster, name: c} | kind | UNKNOWN_KIND
                    {name: c} | kind | MISSING_FIELD
                    [1] | '' | WRONG_TYPE
                    """)
    void rejectsFaultyObjectInFileAndInPart(String row, String field, Rule rule) {
        String text = row.replace("ROUTE", "{kind: Route, name: r, service: s,");
        List<ConfigFault> faults = yaml.parse("f.yaml", text).faults();
        assertThat(faults)
                .extracting(ConfigFault::source, ConfigFault::field, ConfigFault::rule)
                .containsExactly(tuple("f.yaml", field, rule));
        String part = text.replaceAll("([A-Za-z]+)(?=[:,}\\]])(?!\")", "\"$1\"");
        part = part.replace("\"null\"", "null");
        ConfigFault fault = json.decodeObject("part", part).getLeft();
        assertThat(fault.field()).as(part).isEqualTo(field);
        assertThat(fault.rule()).isEqualTo(rule);
    }

    /**
     * Guards against faults of backend servers that are reported without the index of the server.
     */
    @Test
    void reportsIndexOfFaultyBackendServer() {
        String text =
                "{kind: Service, name: s, backendServers: [%s}, %s, weight: 3, slots: x}]}"
                        .formatted(SERVER, SERVER);
        assertThat(yaml.parse("f", text).faults())
                .extracting(ConfigFault::object, ConfigFault::field)
                .containsExactly(
                        tuple("Service s", "backendServers[1].slots"),
                        tuple("Service s", "backendServers[1].weight"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    {kind: Organisation, name: a, name: b}
                    {kind: Organisation, name: *other}
                    {kind: [
                    """)
    void rejectsInvalidSyntax(String text) {
        assertThat(yaml.parse("f", text).faults())
                .extracting(ConfigFault::rule)
                .containsExactly(Rule.SYNTAX);
    }

    /** Guards against an alias in a later document, which Jackson would read as a plain string. */
    @Test
    void rejectsAliasInLaterDocument() {
        String text =
                "{kind: HomeRegion, name: a}\n---\n"
                        + "{kind: Organisation, name: &n b, homeRegions: [*n]}";
        assertThat(yaml.parse("f", text).faults())
                .extracting(ConfigFault::rule)
                .containsExactly(Rule.SYNTAX);
    }

    /** Guards against skipped documents in files with empty documents and end markers. */
    @Test
    void readsEveryDocument() {
        String text =
                "---\nkind: Organisation\nname: a\n---\n---\nkind: Organisation\nname: b\n...\n";
        assertThat(yaml.parse("f", text).objects()).hasSize(2);
    }

    /** Guards against an exported configuration that cannot be published again. */
    @Test
    void readsBackWhatItWrites() {
        String text =
                """
                {kind: HomeRegion, name: "true", hostsObjectApi: true}
                ---
                {kind: FailureDomain, name: "1e3", homeRegion: "true", inService: false}
                ---
                {kind: Organisation, name: no, homeRegions: ["true"], weight: 3}
                ---
                {kind: Service, name: s, backendServers: [%s, slots: 2}]}
                ---
                {kind: Route, name: r, host: a.example, pathPrefix: "/~a%%20b", service: s,
                 methods: [PUT, GET], callClass: BATCH, deadlineMillis: 5}
                """
                        .formatted(SERVER);
        ConfigInput read = yaml.parse("f", text);
        assertThat(read.faults()).isEmpty();
        List<ConfigObject> objects = read.configObjects();
        assertThat(yaml.parse("f", yaml.write(objects)).configObjects()).isEqualTo(objects);
        for (ConfigObject object : objects) {
            assertThat(json.decodeObject("part", json.encodeObject(object).text()).get())
                    .isEqualTo(object);
        }
    }

    /** Guards against an invalid head that is adopted as generation 0 or without parts. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    {"generation":"1","writer":"w","digests":[]} | WRONG_TYPE
                    {"generation":0,"writer":"w","digests":[]} | OUT_OF_RANGE
                    {"generation":1,"digests":[]} | MISSING_FIELD
                    {"generation":1,"writer":"w"} | MISSING_FIELD
                    {"generation":1,"writer":"w","digests":[7]} | WRONG_TYPE
                    [] | WRONG_TYPE
                    {"generation":1 | SYNTAX
                    """)
    void rejectsInvalidHead(String text, Rule rule) {
        assertThat(json.decodeHead(text).getLeft().rule()).isEqualTo(rule);
    }
}
