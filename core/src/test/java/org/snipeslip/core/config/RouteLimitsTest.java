package org.snipeslip.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipeslip.core.error.ConfigFault;
import org.snipeslip.core.id.RouteId;
import org.snipeslip.core.id.ServiceId;

/** Guards against routes without a service to send calls to and against unlimited retries. */
class RouteLimitsTest {
    @ParameterizedTest
    @CsvSource({
        "17, 0, 0, 1, maxTries",
        "-1, 0, 0, 1, maxTries",
        "0, 600001, 0, 1, targetLatencyMillis",
        "0, 0, 101, 1, rank",
        "0, 0, 0, -1, split[0].weight",
        "0, 0, 0, 0, split",
    })
    void rejectsValueOutOfRange(
            int maxTries, long targetMillis, int rank, int weight, String expectedField) {
        FaultList faults = new FaultList();
        SourcedObject sourced =
                new SourcedObject("f.yaml", route(maxTries, targetMillis, rank, weight), 1);
        RouteCheck.checkValues(sourced, route(maxTries, targetMillis, rank, weight), faults);
        assertThat(faults.toList()).extracting(ConfigFault::field).contains(expectedField);
    }

    @ParameterizedTest
    @CsvSource({"0, 0, 0, 1", "16, 600000, 100, 1000000"})
    void acceptsValuesWithinLimits(int maxTries, long targetMillis, int rank, int weight) {
        FaultList faults = new FaultList();
        SourcedObject sourced =
                new SourcedObject("f.yaml", route(maxTries, targetMillis, rank, weight), 1);
        RouteCheck.checkValues(sourced, route(maxTries, targetMillis, rank, weight), faults);
        assertThat(faults.toList()).isEmpty();
    }

    private static Route route(int maxTries, long targetMillis, int rank, int weight) {
        ServiceId service = new ServiceId("s");
        return new Route(
                new RouteId("r"),
                "*",
                "/",
                Set.of(),
                service,
                CallClass.INTERACTIVE,
                Set.of(),
                Set.of(),
                1_000,
                List.of(new ServiceShare(service, weight)),
                maxTries,
                targetMillis,
                rank);
    }
}
