package org.snipeslip.core.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.EngineName;
import org.snipeslip.core.instance.Event;

/** Guards against more object API calls than allowed, also during and after an outage. */
class StoreCallLimiterTest {
    private static final long MILLI = 1_000_000;
    private static final StoreSettings SETTINGS =
            new StoreSettings(10, 5, 4, 8, 2_000, 50, 1_500, 500);

    private final StoreCallLimiter limiter =
            new StoreCallLimiter(SETTINGS, new SplittableRandom(1));

    /** Guards against exceeding the limits on rate, calls in flight and queue length. */
    @Property(tries = 300, seed = "20261204")
    void staysWithinTheBudgetAndEndsEachCallOnce(@ForAll long seed) {
        Random random = new Random(seed);
        StoreCallLimiter limiter = new StoreCallLimiter(SETTINGS, new SplittableRandom(seed));
        List<Long> sentAt = new ArrayList<>();
        Set<StoreCallId> open = new HashSet<>();
        Set<StoreCallId> waiting = new HashSet<>();
        long now = 0;
        for (int step = 0; step < 400; step++) {
            now += random.nextInt(200) * MILLI;
            List<Action> actions = new ArrayList<>();
            for (int i = random.nextInt(4); i > 0; i--) {
                Action.CallStore call = call(step * 10L + i, random.nextInt(4) == 0);
                waiting.add(call.call());
                actions.add(call);
            }
            if (!open.isEmpty() && random.nextBoolean()) {
                StoreCallId ended = open.iterator().next();
                open.remove(ended);
                limiter.answered(new Event.StoreAnswered(ended, answer(random)), now);
            }
            for (Event.StoreAnswered refused : limiter.removeRefused(now)) {
                assertThat(waiting.remove(refused.call()))
                        .as("a waiting call is refused once")
                        .isTrue();
            }
            for (Action.CallStore sent : calls(limiter.admitCalls(actions, now))) {
                assertThat(waiting.remove(sent.call())).as("a waiting call is sent once").isTrue();
                open.add(sent.call());
                sentAt.add(now);
            }
            assertThat(open).hasSizeLessThanOrEqualTo(SETTINGS.maxInFlight());
            assertThat(limiter.waitingCalls()).isLessThanOrEqualTo(SETTINGS.queueLimit());
        }
        for (int first = 0; first < sentAt.size(); first++) {
            for (int last = first; last < sentAt.size(); last++) {
                double seconds = (sentAt.get(last) - sentAt.get(first)) / 1e9;
                assertThat(last - first + 1.0)
                        .isLessThanOrEqualTo(
                                SETTINGS.burst() + seconds * SETTINGS.callsPerSecond() + 1e-6);
            }
        }
    }

    /**
     * Guards against a thundering herd after an outage. After a failure, calls are sent one at a
     * time, then at the rate of the token bucket.
     */
    @ParameterizedTest
    @EnumSource(
            value = StoreFailure.class,
            names = {"NOT_SENT", "NO_ANSWER", "REFUSED"})
    void sendsOneTrialAtATimeAfterAFailure(StoreFailure reason) {
        limiter.admitCalls(List.of(call(1, false)), 0);
        limiter.answered(failed(1, reason), MILLI);
        long backOffEnd = MILLI + SETTINGS.backOffMaxMillis() * MILLI;
        assertThat(calls(limiter.admitCalls(List.of(call(2, true), call(3, false)), backOffEnd)))
                .hasSize(1);
        assertThat(calls(limiter.admitCalls(List.of(), backOffEnd + MILLI))).isEmpty();
        limiter.answered(
                new Event.StoreAnswered(id(2), new StoreAnswer.Unchanged()),
                backOffEnd + 2 * MILLI);
        List<Action> more = List.of(call(4, false), call(5, false), call(6, false));
        assertThat(calls(limiter.admitCalls(more, backOffEnd + 2 * MILLI)))
                .as("the bucket restarts almost empty")
                .hasSizeLessThanOrEqualTo(1);
    }

    /** Guards against a trial that waits for a change and so is not answered for seconds. */
    @Test
    void sendsATrialWatchWithoutWaiting() {
        limiter.admitCalls(List.of(call(1, false)), 0);
        limiter.answered(failed(1, StoreFailure.NO_ANSWER), MILLI);
        List<Action.CallStore> sent =
                calls(limiter.admitCalls(List.of(call(2, true)), 2_000 * MILLI));
        assertThat(sent).singleElement().extracting(Action.CallStore::request).isEqualTo(watch(0));
    }

    /** Guards against a full queue that refuses the watch or a newer call. */
    @Test
    void refusesTheOldestCallThatIsNotAWatch() {
        limiter.admitCalls(List.of(call(1, false)), 0);
        limiter.answered(failed(1, StoreFailure.REFUSED), 0);
        List<Action> actions = new ArrayList<>(List.of(call(100, true)));
        for (int i = 0; i < SETTINGS.queueLimit(); i++) {
            actions.add(call(200 + i, false));
        }
        limiter.admitCalls(actions, 0);
        assertThat(limiter.removeRefused(MILLI))
                .containsExactly(failed(200, StoreFailure.NOT_SENT));
        assertThat(limiter.removeRefused(SETTINGS.maxQueueMillis() * MILLI + 1))
                .as("calls that waited too long end without being sent, the watch is kept")
                .hasSize(SETTINGS.queueLimit() - 1);
        assertThat(limiter.waitingCalls()).isEqualTo(1);
    }

    private static StoreAnswer answer(Random random) {
        return random.nextInt(3) == 0
                ? new StoreAnswer.Failed(StoreFailure.NO_ANSWER)
                : new StoreAnswer.Absent();
    }

    private static Event.StoreAnswered failed(long number, StoreFailure reason) {
        return new Event.StoreAnswered(id(number), new StoreAnswer.Failed(reason));
    }

    private static StoreCallId id(long number) {
        return new StoreCallId(EngineName.CONTROL, number);
    }

    private static Action.CallStore call(long number, boolean isWatch) {
        return new Action.CallStore(
                id(number), isWatch ? watch(5_000) : new StoreRequest.Read("key"));
    }

    private static StoreRequest.Watch watch(long waitMillis) {
        return new StoreRequest.Watch("key", 1, waitMillis);
    }

    private static List<Action.CallStore> calls(List<Action> actions) {
        return actions.stream()
                .filter(Action.CallStore.class::isInstance)
                .map(Action.CallStore.class::cast)
                .toList();
    }
}
