package org.snipeslip.core.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.snipeslip.core.probe.ProbeSettings;
import org.snipeslip.core.retry.RetryBudget;

/**
 * Runs random schedules of arrivals, faults, configuration changes and disconnecting callers.
 * {@link EngineModel} checks each try when it is sent; the other invariants are checked after all
 * calls have ended.
 */
class CallEnginePropertyTest {
    private static final int STEPS = 120;
    private static final int ENGINES = 3;
    private static final int ENGINE_IN_B = 2;
    private static final ProbeSettings PROBE_SETTINGS = new ProbeSettings(6, 4_096, 2, 2_048, 50);
    private static final CallSettings SETTINGS =
            CallSettings.DEFAULT.withInstances(ENGINES).withProbeSettings(PROBE_SETTINGS);

    /**
     * Guards against double execution, calls that ran but were refused as not run, tries sent
     * outside the home regions, to drained servers, to failure domains out of service or beyond the
     * limit of a cold server, missing or duplicate responses, leaked counters, and retries or
     * probes beyond their budgets.
     */
    @Property(tries = 150, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void holdsInvariantsUnderRandomSchedules(@ForAll long seed) {
        FakeDeployment deployment = runSchedule(seed);
        deployment.calls.values().forEach(CallEnginePropertyTest::checkCall);
        for (CallEngine engine : deployment.engines) {
            assertThat(engine.openCalls()).as("open calls after the run").isZero();
            assertThat(engine.inFlight()).as("tries in flight after the run").isZero();
        }
        double earned = deployment.calls.size() * SETTINGS.retryPercent() / 100.0;
        assertThat((double) deployment.extraTries)
                .as("retries and hedges")
                .isLessThanOrEqualTo(earned + RetryBudget.BURST * ENGINES);
        for (EngineModel model : deployment.models) {
            checkRate(model.probeTimesNanos, PROBE_SETTINGS.callsPerSecond());
            checkRate(model.crossRegionProbeTimesNanos, PROBE_SETTINGS.crossRegionCallsPerSecond());
        }
    }

    /**
     * Guards against decisions that depend on hash order or hidden state: runs with equal seeds
     * must be identical.
     */
    @Property(tries = 10, seed = "20261205")
    void replaysIdenticallyFromTheSameSeed(@ForAll long seed) {
        assertThat(summary(runSchedule(seed))).isEqualTo(summary(runSchedule(seed)));
    }

    private static FakeDeployment runSchedule(long seed) {
        FakeDeployment deployment = new FakeDeployment(SETTINGS, ENGINES, seed, "a1", "a2", "b1");
        deployment.claimRefusalRate = 0.2;
        RandomSchedule schedule = new RandomSchedule(deployment, seed);
        for (int step = 0; step < STEPS; step++) {
            schedule.step();
        }
        schedule.clearFaults();
        deployment.runFor(10_000 * FakeDeployment.MILLI);
        return deployment;
    }

    private static List<Object> summary(FakeDeployment deployment) {
        List<Object> values = new ArrayList<>();
        deployment
                .calls
                .values()
                .forEach(
                        call ->
                                values.add(
                                        List.of(
                                                call.relayedNanos,
                                                call.triesSent,
                                                call.decisionRecords)));
        return values;
    }

    private static void checkCall(FakeCall call) {
        if (!call.head.method().equals("GET")) {
            assertThat(call.executions).as("executions of %s", call.request).isLessThanOrEqualTo(1);
        }
        if (call.refusal != null && call.refusal.outcome() == Outcome.NOT_RUN) {
            assertThat(call.executions).as("%s, refused as not run", call.request).isZero();
        }
        if (call.callerDisconnected) {
            assertThat(call.finalActions).isLessThanOrEqualTo(1);
        } else {
            assertThat(call.finalActions).as("final actions of %s", call.request).isEqualTo(1);
        }
        assertThat(call.claimEnds)
                .as("claim ends of %s", call.request)
                .hasSize(call.claimGranted ? 1 : 0);
        if (call.engine == ENGINE_IN_B && call.head.path().equals("/home")) {
            assertThat(call.refusal.reason()).isEqualTo(RefusalReason.OUTSIDE_HOME_REGIONS);
            assertThat(call.decisionRecords)
                    .as("decision records outside the home regions")
                    .isZero();
        }
    }

    private static void checkRate(List<Long> timesNanos, int perSecond) {
        for (int i = 0; i < timesNanos.size(); i++) {
            for (int j = i; j < timesNanos.size(); j++) {
                double seconds = (timesNanos.get(j) - timesNanos.get(i)) / 1e9;
                assertThat((double) j - i + 1)
                        .isLessThanOrEqualTo(perSecond * (1 + seconds) + 1e-6);
            }
        }
    }
}
