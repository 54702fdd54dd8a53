package org.snipeslip.server.runtime;

import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import org.snipeslip.core.rollout.RolloutChange;
import org.snipeslip.core.rollout.RolloutStep;
import org.snipeslip.server.operator.InstanceMetrics;

/** Writes one line for each change of a rollout. */
final class RolloutLog {
    private static final Logger LOG = LoggerFactory.getLogger(RolloutLog.class);

    private RolloutLog() {}

    static void log(RolloutChange change, InstanceMetrics metrics) {
        String kind = change.kind().name().toLowerCase(Locale.ROOT);
        metrics.rolloutChanged(kind);
        boolean bad =
                change.step() == RolloutStep.ROLLED_BACK
                        || change.kind() == RolloutChange.Kind.WRITE_FAILED;
        LoggingEventBuilder line = bad ? LOG.atWarn() : LOG.atInfo();
        line.addKeyValue("service", change.service())
                .addKeyValue("version", change.target())
                .addKeyValue("change", kind)
                .addKeyValue("step", change.step())
                .addKeyValue("elapsedMillis", change.elapsedMillis())
                .addKeyValue("detail", change.detail())
                .log("rollout");
    }
}
