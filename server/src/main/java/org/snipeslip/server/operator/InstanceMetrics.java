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
 * The metrics of an instance. Names and label values come from fixed sets in the code, never from
 * callers, so that their number is bounded and no data of callers leaves its home region.
 */
public final class InstanceMetrics {
    static final String PREFIX = "snipeslip_";

    private final MetricRegistry registry = new MetricRegistry();
    private final Map<CallResult, Counter> callsByResult = new EnumMap<>(CallResult.class);
    private final Counter openCalls = registry.counter(PREFIX + "open_calls");
    private final Counter tries = registry.counter(PREFIX + "tries_total");
    private final Counter shortageChanges = registry.counter(PREFIX + "shortage_changes_total");
    private final Counter rateLimitChanges = registry.counter(PREFIX + "rate_limit_changes_total");
    private final Counter suspicionChanges = registry.counter(PREFIX + "suspicion_changes_total");
    private final Counter linkChanges = registry.counter(PREFIX + "link_changes_total");
    private final Counter clockJumps = registry.counter(PREFIX + "clock_jumps_total");
    private final Counter storeRestorations = registry.counter(PREFIX + "store_restorations_total");
    private final Counter storeCalls = registry.counter(PREFIX + "object_api_calls_total");
    private final Counter storeFailures = registry.counter(PREFIX + "object_api_failures_total");
    private final Histogram callDuration = registerHistogram("call_duration_seconds");
    private final Histogram addedDuration = registerHistogram("call_added_seconds");

    /** Creates a registry with all metrics at zero; refusals are registered when they occur. */
    public InstanceMetrics() {
        for (CallResult result : CallResult.values()) {
            String text = result.name().toLowerCase(Locale.ROOT);
            callsByResult.put(
                    result, registry.counter(PREFIX + "calls_total{result=\"" + text + "\"}"));
        }
    }

    /** Counts a call that arrived as open. */
    public void callArrived() {
        openCalls.inc();
    }

    /**
     * Counts an open call as ended.
     *
     * @param result how it ended
     */
    public void callEnded(CallResult result) {
        openCalls.dec();
        callsByResult.get(result).inc();
    }

    /**
     * Counts a refusal by its reason.
     *
     * @param reason label value; must be the text of an enum constant, never data of a caller
     */
    public void callRefused(String reason) {
        registry.counter(PREFIX + "refusals_total{reason=\"" + reason + "\"}").inc();
    }

    /** Counts a change of what is believed about a request that may crash servers. */
    public void suspicionChanged() {
        suspicionChanges.inc();
    }

    /** Counts a change of what is believed about the links to the backend servers. */
    public void linksChanged() {
        linkChanges.inc();
    }

    /** Counts a freeze of the process, or a change of the wall clock. */
    public void clockJumped() {
        clockJumps.inc();
    }

    /**
     * Counts a change of a rollout.
     *
     * @param kind label value; must be the text of an enum constant
     */
    public void rolloutChanged(String kind) {
        registry.counter(PREFIX + "rollout_changes_total{kind=\"" + kind + "\"}").inc();
    }

    /** Counts a restoration of the store from a copy. */
    public void storeRestored() {
        storeRestorations.inc();
    }

    /** Counts a logged beginning or end of a shortage of room. */
    public void shortageChanged() {
        shortageChanges.inc();
    }

    /** Counts a logged change of the rate limit that a backend server names. */
    public void rateLimitChanged() {
        rateLimitChanges.inc();
    }

    /**
     * Counts a connection of a caller that was closed because all together occupy too much.
     *
     * @param bound label value, the name of the bound
     */
    public void callerClosed(String bound) {
        registry.counter(PREFIX + "callers_closed_total{bound=\"" + bound + "\"}").inc();
    }

    /**
     * Returns the number of calls that have arrived and not ended.
     *
     * @return open calls
     */
    public long openCalls() {
        return openCalls.getCount();
    }

    /** Counts an attempt to send a call to a backend server. */
    public void tryStarted() {
        tries.inc();
    }

    /**
     * Records the duration of a relayed call, and how much of it the instance added.
     *
     * @param totalNanos time from the head of the caller's request to the end of the response
     * @param backendNanos time from sending the request to the backend server until its response
     *     was read
     */
    public void recordCallDuration(long totalNanos, long backendNanos) {
        callDuration.update(totalNanos);
        addedDuration.update(Math.max(0, totalNanos - backendNanos));
    }

    /**
     * Counts a finished call to the object API or to a discovery store.
     *
     * @param failed whether the call failed
     */
    public void storeCallEnded(boolean failed) {
        storeCalls.inc();
        if (failed) {
            storeFailures.inc();
        }
    }

    /**
     * Registers a metric whose value is computed whenever the metrics are read.
     *
     * @param name name without the common prefix; a name that ends in "_total" is exported as a
     *     counter
     * @param value returns the current value
     */
    public void registerGauge(String name, LongSupplier value) {
        registry.register(PREFIX + name, (Gauge<Long>) value::getAsLong);
    }

    /**
     * Returns the registry, to which further metrics can be added.
     *
     * @return the registry
     */
    public MetricRegistry registry() {
        return registry;
    }

    private Histogram registerHistogram(String name) {
        return registry.register(PREFIX + name, new BucketHistogram(new ExponentialBuckets()));
    }

    /** A histogram whose buckets can be read, which {@link PrometheusText} needs. */
    static final class BucketHistogram extends Histogram {
        private final ExponentialBuckets buckets;

        BucketHistogram(ExponentialBuckets buckets) {
            super(buckets);
            this.buckets = buckets;
        }

        ExponentialBuckets buckets() {
            return buckets;
        }
    }
}
