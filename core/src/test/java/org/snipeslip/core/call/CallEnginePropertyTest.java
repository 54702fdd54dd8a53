package org.snipeslip.core.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.snipeslip.core.measure.MeasureSettings;
import org.snipeslip.core.retry.RetryBudget;

/**
 * Random schedules of arrivals, faults, configuration changes and callers that leave. {@link
 * EngineMirror} checks each try when it is sent; the rest is checked after all calls ended.
 */
class CallEnginePropertyTest {
    private static final int STEPS = 120;
    private static final int ENGINES = 3;
    private static final int ENGINE_IN_B = 2;
    private static final MeasureSettings MEASURE = new MeasureSettings(6, 4_096, 2, 2_048, 50);
    private static final CallSettings SETTINGS =
            CallSettings.DEFAULT.withInstances(ENGINES).withMeasure(MEASURE);

    /**
     * Guards against double execution, untrue "not run", tries outside home regions, to drained
     * servers, out domains or beyond a cold limit, missing or second answers, leaked counters, and
     * retries or probes beyond their budgets.
     */
    @Property(tries = 150, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void keepsItsPromisesUnderRandomSchedules(@ForAll long seed) {
        FakeFleet fleet = run(seed);
        fleet.calls.values().forEach(CallEnginePropertyTest::checkCall);
        for (CallEngine engine : fleet.engines) {
            assertThat(engine.openCalls()).as("open calls").isZero();
            assertThat(engine.inFlight()).as("in flight").isZero();
        }
        double earned = fleet.calls.size() * SETTINGS.retryPercent() / 100.0;
        assertThat((double) fleet.extraTries)
                .as("retries and hedges")
                .isLessThanOrEqualTo(earned + RetryBudget.BURST * ENGINES);
        for (EngineMirror mirror : fleet.mirrors) {
            checkRate(mirror.probeTimesNanos, MEASURE.callsPerSecond());
            checkRate(mirror.crossRegionProbeTimesNanos, MEASURE.crossRegionCallsPerSecond());
        }
    }

    /** Guards against decisions that depend on hash order or hidden state: replay must be exact. */
    @Property(tries = 10, seed = "20261205")
    void repeatsARunExactly(@ForAll long seed) {
        assertThat(summary(run(seed))).isEqualTo(summary(run(seed)));
    }

    private static FakeFleet run(long seed) {
        FakeFleet fleet = new FakeFleet(SETTINGS, ENGINES, seed, "a1", "a2", "b1");
        fleet.claimRefusalRate = 0.2;
        RandomSchedule schedule = new RandomSchedule(fleet, seed);
        for (int step = 0; step < STEPS; step++) {
            schedule.step();
        }
        schedule.heal();
        fleet.runFor(10_000 * FakeFleet.MILLI);
        return fleet;
    }

    private static List<Object> summary(FakeFleet fleet) {
        List<Object> values = new ArrayList<>();
        fleet.calls
                .values()
                .forEach(call -> values.add(List.of(call.relayedNanos, call.sent, call.records)));
        return values;
    }

    private static void checkCall(FakeCall call) {
        if (!call.head.method().equals("GET")) {
            assertThat(call.started).as("executions of %s", call.request).isLessThanOrEqualTo(1);
        }
        if (call.refusal != null && call.refusal.outcome() == Outcome.NOT_RUN) {
            assertThat(call.started).as("%s, refused as not run", call.request).isZero();
        }
        if (call.gone) {
            assertThat(call.finals).isLessThanOrEqualTo(1);
        } else {
            assertThat(call.finals).as("final actions of %s", call.request).isEqualTo(1);
        }
        assertThat(call.ends).as("claim ends of %s", call.request).hasSize(call.granted ? 1 : 0);
        if (call.engine == ENGINE_IN_B && call.head.path().equals("/home")) {
            assertThat(call.refusal.reason()).isEqualTo(RefusalReason.OUTSIDE_HOME_REGIONS);
            assertThat(call.records).as("records outside the home regions").isZero();
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
