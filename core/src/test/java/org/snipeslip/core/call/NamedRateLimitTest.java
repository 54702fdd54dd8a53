package org.snipeslip.core.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipeslip.core.config.BackendServer;
import org.snipeslip.core.id.FailureDomainId;
import org.snipeslip.core.probe.ProbeSettings;
import org.snipeslip.core.ratelimit.RateLimit;
import org.snipeslip.core.selection.PolicyName;

/** Guards against instances that together exceed the rate limit which a server names. */
class NamedRateLimitTest {
    private static final long SECOND_NANOS = 1_000 * FakeDeployment.MILLI;
    private static final long WINDOW_NANOS = 4 * SECOND_NANOS;
    private static final double FACTOR = 1.5;
    private static final int SLACK = 5;
    private static final int SERVERS = 8;
    private static final int LIMITED_SERVERS = 5;

    @ParameterizedTest
    @CsvSource({
        "1, 2.5, 60",
        "4, 0.3, 60",
        "15, 2.4, 80",
        "15, 0, 80",
        "15, 30, 400",
        "17, 3.8, 120",
        "60, 1.1, 120",
        "153, 1.3, 150",
        "153, 0.2, 150",
        "153, 40, 600"
    })
    void instancesTogetherKeepTheRateThatAServerNames(
            int instances, double limit, double callsPerSecond) {
        LoadedDeployment deployment = start(instances);
        load(deployment, callsPerSecond, 2);
        limitServers(deployment, LIMITED_SERVERS, new RateLimit.CallsPerSecond(limit));
        long namedNanos = deployment.nowNanos();
        load(deployment, callsPerSecond, 20);

        for (int i = 0; i < LIMITED_SERVERS; i++) {
            List<Long> arrivals = deployment.server("s" + i).arrivedNanos;
            assertThat(mostInWindow(arrivals, namedNanos + 3 * SECOND_NANOS))
                    .as("calls to s%d in 4 s", i)
                    .isLessThanOrEqualTo((int) (FACTOR * limit * 4 + SLACK));
        }
        assertThat(deployment.calls.values()).allMatch(call -> call.refusal == null);
    }

    /**
     * Guards against calls that wait for their deadline because all servers are at their limits.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 15, 153})
    void callsAboveAllNamedRatesAreRefusedAtOnceWithATimeToReturn(int instances) {
        LoadedDeployment deployment = start(instances);
        load(deployment, 100, 1);
        limitServers(deployment, SERVERS, new RateLimit.CallsPerSecond(3));
        load(deployment, 100, 3);
        long settledNanos = deployment.nowNanos();
        load(deployment, 100, 20);

        List<FakeCall> since =
                deployment.calls.values().stream()
                        .filter(call -> call.arrivedNanos >= settledNanos)
                        .toList();
        List<FakeCall> refused = since.stream().filter(call -> call.refusal != null).toList();
        assertThat(refused)
                .isNotEmpty()
                .allSatisfy(
                        call -> {
                            assertThat(call.executions).isZero();
                            assertThat(call.refusal.status()).isEqualTo(503);
                            assertThat(call.refusal.reason()).isEqualTo(RefusalReason.RATE_LIMITED);
                            assertThat(call.refusal.retryAfterMillis()).isBetween(1L, 1_500L);
                            assertThat(call.refusedNanos - call.arrivedNanos)
                                    .isLessThan(100 * FakeDeployment.MILLI);
                        });
        assertThat(since.size() - refused.size())
                .as("calls served within eight limits of 3 calls/s for 20 s")
                .isGreaterThan(8 * 3 * 20 * 2 / 3);
    }

    /** Guards against instances without a share that never learn that a limit was lifted. */
    @ParameterizedTest
    @ValueSource(ints = {1, 15, 60})
    void serversAreUsedInFullAgainAfterTheirLimitsAreLifted(int instances) {
        LoadedDeployment deployment = start(instances);
        limitServers(deployment, SERVERS, new RateLimit.CallsPerSecond(1));
        load(deployment, 100, 8);
        limitServers(deployment, SERVERS, RateLimit.UNLIMITED);
        deployment.runFor(instances * SECOND_NANOS);
        long liftedNanos = deployment.nowNanos();
        load(deployment, 100, 5);

        assertThat(deployment.calls.values())
                .filteredOn(call -> call.arrivedNanos >= liftedNanos)
                .isNotEmpty()
                .allMatch(call -> call.refusal == null);
    }

    private static LoadedDeployment start(int instances) {
        CallSettings settings =
                CallSettings.DEFAULT
                        .withPolicy(PolicyName.PROBED)
                        .withProbeSettings(ProbeSettings.OFF)
                        .withInstances(instances);
        LoadedDeployment deployment =
                new LoadedDeployment(settings, instances, 11, DeploymentFixtures.DOMAINS);
        List<InstanceShare.Member> members = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            String domain = DeploymentFixtures.DOMAINS[i % DeploymentFixtures.DOMAINS.length];
            String region = DeploymentFixtures.regionOf(new FailureDomainId(domain)).value();
            members.add(new InstanceShare.Member("entry-" + i, region));
        }
        for (int i = 0; i < instances; i++) {
            List<InstanceShare.Member> others = new ArrayList<>(members);
            InstanceShare.Member own = others.remove(i);
            InstanceShare share = new InstanceShare(instances, own, others, true);
            deployment.engines.get(i).setInstanceShare(share);
        }
        List<BackendServer> servers =
                DeploymentFixtures.servers(SERVERS, 2, DeploymentFixtures.DOMAINS);
        deployment.configure(DeploymentFixtures.config(1, servers, Set.of()));
        return deployment;
    }

    private static void limitServers(LoadedDeployment deployment, int count, RateLimit limit) {
        for (int i = 0; i < count; i++) {
            deployment.server("s" + i).rateLimit = limit;
        }
    }

    private static void load(LoadedDeployment deployment, double callsPerSecond, int seconds) {
        List<CallHead> mix = List.of(DeploymentFixtures.get("/free", null));
        deployment.load(callsPerSecond, seconds * SECOND_NANOS, mix);
    }

    private static int mostInWindow(List<Long> arrivals, long fromNanos) {
        int most = 0;
        int first = 0;
        for (int last = 0; last < arrivals.size(); last++) {
            while (arrivals.get(last) - arrivals.get(first) > WINDOW_NANOS) {
                first++;
            }
            if (arrivals.get(last) - WINDOW_NANOS >= fromNanos) {
                most = Math.max(most, last - first + 1);
            }
        }
        return most;
    }
}
