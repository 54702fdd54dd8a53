package org.snipeslip.core.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.snipeslip.core.config.CallClass;
import org.snipeslip.core.config.Route;
import org.snipeslip.core.config.ServiceShare;
import org.snipeslip.core.id.RouteId;
import org.snipeslip.core.id.ServiceId;

/**
 * Guards against a traffic split that deviates from its weights. Each instance must keep to them by
 * itself and within 200 calls.
 */
class SplitChooserTest {
    private static final ServiceId FIRST = new ServiceId("first");
    private static final ServiceId SECOND = new ServiceId("second");

    @Property
    void distributesCallsByWeight(
            @ForAll @IntRange(min = 0, max = 100) int weight, @ForAll long seed) {
        SplitChooser chooser = new SplitChooser(new SplittableRandom(seed));
        Route route = route(weight);
        int calls = 200;
        int chosenFirst = 0;
        for (int i = 0; i < calls; i++) {
            chosenFirst += chooser.choose(route).equals(FIRST) ? 1 : 0;
        }
        assertThat(chosenFirst / (double) calls).isCloseTo(weight / 100.0, within(0.01));
    }

    @Test
    void appliesNewWeightsImmediately() {
        SplitChooser chooser = new SplitChooser(new SplittableRandom(1));
        chooser.choose(route(100));
        assertThat(chooser.choose(route(0))).isEqualTo(SECOND);
    }

    private static Route route(int weight) {
        return new Route(
                new RouteId("r"),
                "h",
                "/",
                Set.of(),
                FIRST,
                CallClass.INTERACTIVE,
                Set.of(),
                Set.of(),
                1_000,
                List.of(new ServiceShare(FIRST, weight), new ServiceShare(SECOND, 100 - weight)),
                2,
                100,
                0);
    }
}
