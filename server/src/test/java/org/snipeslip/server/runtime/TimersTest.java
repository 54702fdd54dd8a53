package org.snipeslip.server.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipeslip.core.instance.EngineName;
import org.snipeslip.core.instance.TimerId;

/** Guards against due work that is forgotten because of the order in which timers are set. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class TimersTest {
    private static final long HOUR_NANOS = TimeUnit.HOURS.toNanos(1);
    private static final long SOON_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final TimerId TIMER = new TimerId(EngineName.CONTROL, "due");

    /** Guards against a timer that an engine set earlier, for later, and that is executed last. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void firesAtTheEarliestTimeInAnyOrder(boolean soonFirst) throws InterruptedException {
        try (Timers timers = new Timers()) {
            BlockingQueue<TimerId> fired = new LinkedBlockingQueue<>();
            List<Long> delays =
                    soonFirst ? List.of(SOON_NANOS, HOUR_NANOS) : List.of(HOUR_NANOS, SOON_NANOS);

            delays.forEach(delayNanos -> timers.set(TIMER, delayNanos, true, fired::add));

            assertThat(fired.take()).isEqualTo(TIMER);
        }
    }
}
