package org.snipeslip.standin;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.Histogram;
import org.snipeslip.server.http.SimpleHttpListener;

/** Collects latencies and results of one load run. */
final class LoadRecorder {
    private static final long MAX_LATENCY_MICROS = 60_000_000L;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final Pattern REASON = Pattern.compile("\"reason\":\"([a-z-]+)\"");
    private static final Pattern OUTCOME = Pattern.compile("\"outcome\":\"([a-z-]+)\"");

    private final Histogram latencyMicros = new Histogram(MAX_LATENCY_MICROS, 3);
    private final Map<String, Long> results = new TreeMap<>();
    private int openCalls;

    synchronized void countSent() {
        openCalls++;
    }

    SimpleHttpListener listener(long plannedNanos) {
        return new SimpleHttpListener() {
            @Override
            public void responseReceived(int status, UnaryOperator<String> header, String body) {
                record(plannedNanos, status == 200 ? LoadResult.OK : label(status, body));
            }

            @Override
            public void failed(boolean sent, IOException cause) {
                record(plannedNanos, sent ? "broken" : "not-connected");
            }
        };
    }

    private static String label(int status, String body) {
        Matcher reason = REASON.matcher(body);
        Matcher outcome = OUTCOME.matcher(body);
        return status
                + (reason.find() ? ":" + reason.group(1) : "")
                + (outcome.find() ? ":" + outcome.group(1) : "");
    }

    private synchronized void record(long plannedNanos, String result) {
        if (result.equals(LoadResult.OK)) {
            long micros = (System.nanoTime() - plannedNanos) / NANOS_PER_MICRO;
            latencyMicros.recordValue(Math.min(micros, MAX_LATENCY_MICROS));
        }
        results.merge(result, 1L, Long::sum);
        openCalls--;
        notifyAll();
    }

    synchronized LoadResult awaitResult() throws InterruptedException {
        while (openCalls > 0) {
            wait();
        }
        return new LoadResult(latencyMicros.copy(), new TreeMap<>(results));
    }
}
