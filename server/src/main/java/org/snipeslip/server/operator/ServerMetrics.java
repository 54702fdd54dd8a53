package org.snipeslip.server.operator;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The metrics of one process. Names and label values come from fixed sets of this project, never
 * from callers, so their number is bounded and no caller data leaves its home region.
 */
public final class ServerMetrics {
    static final String PREFIX = "snipeslip_";

    private final MetricRegistry registry = new MetricRegistry();
    private final Map<CallResult, Counter> results = new EnumMap<>(CallResult.class);
    private final Counter openCalls = registry.counter(PREFIX + "open_calls");
    private final Counter tries = registry.counter(PREFIX + "tries_total");
    private final Counter storeCalls = registry.counter(PREFIX + "object_api_calls_total");
    private final Counter storeFailures = registry.counter(PREFIX + "object_api_failures_total");
    private final Histogram totalTime = histogram("call_duration_seconds");
    private final Histogram addedTime = histogram("call_added_seconds");

    /** Registers the metrics. */
    public ServerMetrics() {
        for (CallResult result : CallResult.values()) {
            String text = result.name().toLowerCase(Locale.ROOT);
            results.put(result, registry.counter(PREFIX + "calls_total{result=\"" + text + "\"}"));
        }
    }

    /** A call arrived. */
    public void arrived() {
        openCalls.inc();
    }

    /**
     * A call ended.
     *
     * @param result how
     */
    public void ended(CallResult result) {
        openCalls.dec();
        results.get(result).inc();
    }

    /**
     * A call was refused.
     *
     * @param reason text of a typed reason of this project
     */
    public void refused(String reason) {
        registry.counter(PREFIX + "refusals_total{reason=\"" + reason + "\"}").inc();
    }

    /**
     * Counts the calls without a complete answer.
     *
     * @return open calls
     */
    public long openCalls() {
        return openCalls.getCount();
    }

    /** A call was sent to a backend server. */
    public void tryStarted() {
        tries.inc();
    }

    /**
     * A relayed call took this long.
     *
     * @param totalNanos from the request head to the end of the response
     * @param backendNanos from the request sent to the response read
     */
    public void completed(long totalNanos, long backendNanos) {
        totalTime.update(totalNanos);
        addedTime.update(Math.max(0, totalNanos - backendNanos));
    }

    /**
     * An object API call ended.
     *
     * @param failed whether it failed
     */
    public void storeAnswered(boolean failed) {
        storeCalls.inc();
        if (failed) {
            storeFailures.inc();
        }
    }

    /**
     * Adds a value that is read on request.
     *
     * @param name name without prefix; one that ends in "_total" is a counter
     * @param value gives the value
     */
    public void gauge(String name, LongSupplier value) {
        registry.register(PREFIX + name, (Gauge<Long>) value::getAsLong);
    }

    /**
     * Returns the registry, for further metrics and for the text format.
     *
     * @return the registry
     */
    public MetricRegistry registry() {
        return registry;
    }

    private Histogram histogram(String name) {
        return registry.register(PREFIX + name, new BucketHistogram(new LogBuckets()));
    }

    /** A histogram that gives access to its buckets. */
    static final class BucketHistogram extends Histogram {
        private final LogBuckets buckets;

        BucketHistogram(LogBuckets buckets) {
            super(buckets);
            this.buckets = buckets;
        }

        LogBuckets buckets() {
            return buckets;
        }
    }
}
