package org.snipeslip.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipeslip.core.config.CallClass;
import org.snipeslip.core.config.Organisation;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.id.OrganisationId;
import org.snipeslip.core.id.RegionId;
import org.snipeslip.core.id.RouteId;
import org.snipeslip.core.id.ServiceId;

/**
 * Guards against a call being served outside the home regions of its route or of its organisation,
 * also if the two sets are disjoint.
 */
class HomeRegionsTest {
    @ParameterizedTest
    @CsvSource({
        "'', '', fleuve, true",
        "fleuve, '', fleuve, true",
        "fleuve, '', casamance, false",
        "'', casamance, fleuve, false",
        "fleuve casamance, casamance, casamance, true",
        "fleuve casamance, casamance, fleuve, false",
        "fleuve, casamance, fleuve, false",
        "fleuve, casamance, casamance, false",
    })
    void allowsOnlyTheIntersection(
            String route, String organisation, String region, boolean expected) {
        HomeRegions regions = HomeRegions.of(route(regions(route)), organisation(organisation));
        assertThat(regions.allows(new RegionId(region))).isEqualTo(expected);
    }

    private static Route route(Set<RegionId> regions) {
        return new Route(
                new RouteId("r"),
                "*",
                "/",
                Set.of(),
                new ServiceId("s"),
                CallClass.INTERACTIVE,
                Route.SAFE_METHODS,
                regions,
                1_000);
    }

    private static Organisation organisation(String regions) {
        return new Organisation(new OrganisationId("o"), regions(regions), 1);
    }

    private static Set<RegionId> regions(String text) {
        return text.isEmpty()
                ? Set.of()
                : Set.of(text.split(" ")).stream().map(RegionId::new).collect(Collectors.toSet());
    }
}
