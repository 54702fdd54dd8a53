package org.snipeslip.server.runtime;

import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import org.snipeslip.core.suspect.SuspectChange;
import org.snipeslip.core.suspect.Suspicion;
import org.snipeslip.server.operator.InstanceMetrics;

/** Writes one line for each change of what is believed about a request that may crash servers. */
final class SuspectLog {
    private static final Logger LOG = LoggerFactory.getLogger(SuspectLog.class);

    private SuspectLog() {}

    static void log(SuspectChange change, InstanceMetrics metrics) {
        metrics.suspicionChanged();
        Suspicion suspicion = change.suspicion();
        LoggingEventBuilder line =
                LOG.atWarn()
                        .addKeyValue("digest", suspicion.digest())
                        .addKeyValue("epoch", suspicion.epoch())
                        .addKeyValue("level", suspicion.level())
                        .addKeyValue("source", change.source().name().toLowerCase(Locale.ROOT));
        if (change.request() != null) {
            line.addKeyValue("request", change.request());
        }
        if (change.server() != null) {
            line.addKeyValue("backendServer", change.server());
        }
        line.log(message(suspicion.level()));
    }

    private static String message(int level) {
        if (level == 0) {
            return "request is no longer suspected of crashing backend servers";
        }
        return level >= Suspicion.REFUSED_LEVEL
                ? "request crashes backend servers and is refused"
                : "request is suspected of crashing backend servers";
    }
}
