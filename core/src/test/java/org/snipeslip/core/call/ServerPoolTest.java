package org.snipeslip.core.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.config.WarmUpPlan;
import org.snipeslip.core.id.BackendServerId;
import org.snipeslip.core.id.FailureDomainId;

/** Guards against the state of an earlier incarnation that a restarted server takes over. */
class ServerPoolTest {
    private static final FailureDomainId DOMAIN = new FailureDomainId("a1");

    private final ServerPool pool =
            new ServerPool(
                    CallSettings.DEFAULT,
                    new InstanceLocation(DeploymentFixtures.regionOf(DOMAIN), DOMAIN),
                    new SplittableRandom(1));

    /** A call to the earlier incarnation is still open, so that its state is kept meanwhile. */
    @ParameterizedTest
    @CsvSource({"true, 7, 7, true", "true, 7, 8, false", "false, 7, 7, true", "false, 7, 8, false"})
    void keepsStateOnlyOfSameIncarnation(
            boolean removedBetween, long before, long after, boolean kept) {
        configure(List.of(server(before)));
        ServerState first = pool.find(server(before).id());
        first.sent(1);
        if (removedBetween) {
            configure(List.of());
        }
        configure(List.of(server(after)));

        assertThat(pool.find(server(after).id()) == first).isEqualTo(kept);
        assertThat(pool.inFlight()).isEqualTo(1);
    }

    private void configure(List<BackendServer> servers) {
        pool.configure(servers, DeploymentFixtures.config(1, servers, Set.of()), false, 1);
    }

    private static BackendServer server(long incarnation) {
        return new BackendServer(
                new BackendServerId("b"),
                "127.0.0.1",
                80,
                DOMAIN,
                2,
                100,
                false,
                incarnation,
                new WarmUpPlan(WarmUpPlan.WARM, 0, 0));
    }
}
