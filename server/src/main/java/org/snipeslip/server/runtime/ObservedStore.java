package org.snipeslip.server.runtime;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.snipeslip.core.discovery.FleetAnswer;
import org.snipeslip.core.discovery.FleetCall;

/**
 * Logs when the store of a fleet is lost and regained: one line each, however many calls fail in
 * between.
 */
final class ObservedStore implements FleetStore {
    private static final Logger LOG = LoggerFactory.getLogger(ObservedStore.class);

    private final FleetStore store;
    private long lostNanos;
    private int failures;

    ObservedStore(FleetStore store) {
        this.store = store;
    }

    @Override
    public void call(FleetCall call, Consumer<FleetAnswer> consumer) {
        store.call(
                call,
                answer -> {
                    observe(call, answer, System.nanoTime());
                    consumer.accept(answer);
                });
    }

    private synchronized void observe(FleetCall call, FleetAnswer answer, long nowNanos) {
        if (answer instanceof FleetAnswer.Failed(boolean refused, String reason)) {
            if (failures++ == 0) {
                lostNanos = nowNanos;
                LOG.atWarn()
                        .addKeyValue("kind", call.kind())
                        .addKeyValue("refused", refused)
                        .addKeyValue("reason", reason)
                        .log("store lost");
            }
        } else if (failures > 0) {
            LOG.atInfo()
                    .addKeyValue("kind", call.kind())
                    .addKeyValue("failures", failures)
                    .addKeyValue("lostMillis", TimeUnit.NANOSECONDS.toMillis(nowNanos - lostNanos))
                    .log("store regained");
            failures = 0;
        }
    }
}
