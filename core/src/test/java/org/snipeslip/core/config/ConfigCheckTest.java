package org.snipeslip.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipeslip.core.error.ConfigFault;
import org.snipeslip.core.error.ConfigFault.Rule;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RouteId;
import org.snipeslip.core.id.ServiceId;

/** Guards against the publication of an invalid set and against faults that hide other faults. */
class ConfigCheckTest {
    private static final ConfigObject FLEUVE = new HomeRegion(new RegionId("fleuve"), true);
    private static final ConfigObject CASAMANCE = new HomeRegion(new RegionId("casamance"), false);
    private static final ConfigObject FLEUVE_1 =
            new FailureDomain(new FailureDomainId("fleuve-1"), new RegionId("fleuve"), true);

    private static List<ConfigObject> validObjects() {
        return new ArrayList<>(
                List.of(FLEUVE, CASAMANCE, FLEUVE_1, service("marees", server("a", "127.0.0.1"))));
    }

    static Stream<Arguments> singleFaults() {
        return Stream.of(
                faultCase(route("r", "*", Set.of(), "none"), "service", Rule.DANGLING_REFERENCE),
                faultCase(route("r", "A", Set.of(), "marees"), "host", Rule.INVALID_FORMAT),
                faultCase(route("r", "*", Set.of("get"), "marees"), "methods", Rule.INVALID_FORMAT),
                faultCase(routeInRegion("r", "none"), "homeRegions", Rule.DANGLING_REFERENCE),
                faultCase(
                        routeInRegion("r", "casamance"),
                        "homeRegions",
                        Rule.NO_BACKEND_SERVER_IN_HOME_REGION),
                faultCase(organisation("none", 1), "homeRegions", Rule.DANGLING_REFERENCE),
                faultCase(organisation("fleuve", 0), "weight", Rule.OUT_OF_RANGE),
                faultCase(FLEUVE, "name", Rule.DUPLICATE_NAME),
                faultCase(
                        new HomeRegion(new RegionId("ashanti"), true),
                        "hostsObjectApi",
                        Rule.OBJECT_API_REGION),
                faultCase(
                        service("editions", server("b", "127.0.0.1")),
                        "backendServers[0].host",
                        Rule.DUPLICATE_ADDRESS),
                faultCase(
                        service("editions", server("b", "127.0.0.2"), server("b", "127.0.0.3")),
                        "backendServers[1].name",
                        Rule.DUPLICATE_NAME),
                faultCase(service("editions"), "backendServers", Rule.OUT_OF_RANGE));
    }

    @ParameterizedTest
    @MethodSource("singleFaults")
    void reportsObjectFieldAndRuleOfFault(ConfigObject added, String field, Rule rule) {
        List<ConfigObject> objects = validObjects();
        objects.add(added);
        assertThat(check(objects))
                .singleElement()
                .satisfies(
                        fault -> {
                            assertThat(fault.object()).isEqualTo(added.label());
                            assertThat(fault.field()).isEqualTo(field);
                            assertThat(fault.rule()).isEqualTo(rule);
                        });
    }

    @Test
    void acceptsValidSet() {
        assertThat(check(validObjects())).isEmpty();
    }

    /** Guards against a check that stops at the first fault. */
    @Test
    void reportsFaultsOfDifferentObjectsTogether() {
        List<ConfigObject> objects = validObjects();
        objects.add(route("r", "*", Set.of(), "none"));
        objects.add(organisation("none", 0));
        assertThat(check(objects))
                .extracting(ConfigFault::rule)
                .containsExactlyInAnyOrder(
                        Rule.DANGLING_REFERENCE, Rule.DANGLING_REFERENCE, Rule.OUT_OF_RANGE);
    }

    /** Guards against calls that may not be served in any region. */
    @Test
    void rejectsRouteAndOrganisationWithoutCommonRegion() {
        List<ConfigObject> objects = validObjects();
        objects.add(organisation("casamance", 1));
        objects.add(routeInRegion("r", "fleuve"));
        assertThat(check(objects))
                .extracting(ConfigFault::rule)
                .containsExactly(Rule.HOME_REGIONS_DISJOINT);
    }

    /**
     * Guards against name resolution and against formats that other tools interpret differently.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "backend.example",
                "localhost",
                "",
                "127.1",
                "1",
                "256.0.0.1",
                "127.0.0.1.",
                "127.0.0.01",
                "0.0.0.0",
                "224.0.0.1",
                "::",
                "fe80::1%eth0",
                "[::1]"
            })
    void rejectsHostThatIsNotUnicastAddress(String host) {
        assertThat(check(withServer(host)))
                .extracting(ConfigFault::rule)
                .containsExactly(Rule.NOT_AN_IP_ADDRESS);
    }

    @ParameterizedTest
    @ValueSource(strings = {"127.0.0.1", "192.0.2.255", "2001:db8::1", "::1"})
    void acceptsUnicastAddress(String host) {
        assertThat(check(withServer(host))).isEmpty();
    }

    private static List<ConfigObject> withServer(String host) {
        return List.of(FLEUVE, FLEUVE_1, service("marees", server("a", host)));
    }

    /** Guards against counting a backend server twice because its address has two notations. */
    @Test
    void comparesAddressesInCanonicalForm() {
        ConfigObject service =
                service("s", server("a", "2001:db8::1"), server("b", "2001:DB8:0:0:0:0:0:1"));
        assertThat(check(List.of(FLEUVE, FLEUVE_1, service)))
                .extracting(ConfigFault::rule)
                .containsExactly(Rule.DUPLICATE_ADDRESS);
    }

    /** Guards against two routes whose precedence is undefined. */
    @Property(seed = "20261204")
    void reportsAmbiguityExactlyWhenMethodsOverlap(
            @ForAll @IntRange(max = 7) int leftBits, @ForAll @IntRange(max = 7) int rightBits) {
        List<ConfigObject> objects = validObjects();
        objects.add(route("a", "*", methods(leftBits), "marees"));
        objects.add(route("b", "*", methods(rightBits), "marees"));
        boolean ambiguous = leftBits == 0 && rightBits == 0 || (leftBits & rightBits) != 0;
        assertThat(check(objects).stream().map(ConfigFault::rule).toList())
                .isEqualTo(ambiguous ? List.of(Rule.AMBIGUOUS_ROUTE) : List.of());
    }

    /**
     * Guards against a set that exceeds the memory of instances or the limits of the object API.
     */
    @ParameterizedTest
    @ValueSource(ints = {4_096, 4_097})
    void rejectsTooManyOrTooLargeObjects(int organisationCount) {
        List<ConfigObject> objects = validObjects();
        for (int i = 0; i < organisationCount; i++) {
            objects.add(new Organisation(new OrganisationId("o" + i), Set.of(), 1));
        }
        assertThat(check(objects)).hasSize(organisationCount > 4_096 ? 1 : 0);
        assertThat(ConfigCheck.check(List.of(new SourcedObject("f", FLEUVE, 17 << 20))))
                .extracting(ConfigFault::rule)
                .containsExactly(Rule.TOO_LARGE, Rule.TOO_LARGE);
    }

    private static Set<String> methods(int bits) {
        List<String> all = List.of("GET", "POST", "PUT");
        return Set.copyOf(
                all.stream().filter(method -> (bits >> all.indexOf(method) & 1) == 1).toList());
    }

    private static List<ConfigFault> check(List<ConfigObject> objects) {
        return ConfigCheck.check(
                objects.stream().map(object -> new SourcedObject("f", object, 1)).toList());
    }

    private static Arguments faultCase(ConfigObject added, String field, Rule rule) {
        return Arguments.of(added, field, rule);
    }

    private static Service service(String name, BackendServer... servers) {
        return new Service(new ServiceId(name), List.of(servers));
    }

    private static BackendServer server(String name, String host) {
        return new BackendServer(
                new BackendServerId(name),
                host,
                8_080,
                new FailureDomainId("fleuve-1"),
                2,
                220,
                false);
    }

    private static Organisation organisation(String region, int weight) {
        return new Organisation(
                new OrganisationId("mosques"), Set.of(new RegionId(region)), weight);
    }

    private static Route routeInRegion(String name, String region) {
        return route(name, "*", Set.of(), "marees", Set.of(new RegionId(region)));
    }

    private static Route route(String name, String host, Set<String> methods, String service) {
        return route(name, host, methods, service, Set.of());
    }

    private static Route route(
            String name, String host, Set<String> methods, String service, Set<RegionId> regions) {
        return new Route(
                new RouteId(name),
                host,
                "/",
                methods,
                new ServiceId(service),
                CallClass.INTERACTIVE,
                Route.SAFE_METHODS,
                regions,
                1_000);
    }
}
