package org.snipeslip.server.operator;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import java.util.Map;

/** Formats a metric registry in the Prometheus text format, version 0.0.4. */
final class PrometheusText {
    static final String MEDIA_TYPE = "text/plain; version=0.0.4; charset=utf-8";
    private static final double NANOS_PER_SECOND = 1e9;

    private PrometheusText() {}

    static String format(MetricRegistry registry) {
        StringBuilder out = new StringBuilder(4_096);
        String lastFamily = "";
        for (Map.Entry<String, Metric> entry : registry.getMetrics().entrySet()) {
            String name = entry.getKey();
            int brace = name.indexOf('{');
            String family = brace < 0 ? name : name.substring(0, brace);
            if (!family.equals(lastFamily)) {
                String type = typeOf(family, entry.getValue());
                out.append("# TYPE ").append(family).append(' ').append(type).append('\n');
                lastFamily = family;
            }
            append(out, name, entry.getValue());
        }
        return out.toString();
    }

    private static String typeOf(String family, Metric metric) {
        if (metric instanceof InstanceMetrics.BucketHistogram) {
            return "histogram";
        }
        return family.endsWith("_total") ? "counter" : "gauge";
    }

    private static void append(StringBuilder out, String name, Metric metric) {
        switch (metric) {
            case InstanceMetrics.BucketHistogram histogram ->
                    appendHistogram(out, name, histogram.buckets());
            case Counting counting -> appendLine(out, name, Long.toString(counting.getCount()));
            case Gauge<?> gauge -> appendLine(out, name, String.valueOf(gauge.getValue()));
            default ->
                    throw new IllegalStateException(
                            "no Prometheus text format for " + metric.getClass());
        }
    }

    private static void appendHistogram(
            StringBuilder out, String name, ExponentialBuckets buckets) {
        long cumulative = 0;
        for (int i = 0; i < ExponentialBuckets.BUCKETS; i++) {
            cumulative += buckets.count(i);
            String bound =
                    i == ExponentialBuckets.BUCKETS - 1
                            ? "+Inf"
                            : Double.toString(
                                    ExponentialBuckets.upperBoundNanos(i) / NANOS_PER_SECOND);
            appendLine(out, name + "_bucket{le=\"" + bound + "\"}", Long.toString(cumulative));
        }
        appendLine(out, name + "_sum", Double.toString(buckets.sumNanos() / NANOS_PER_SECOND));
        appendLine(out, name + "_count", Long.toString(cumulative));
    }

    private static void appendLine(StringBuilder out, String name, String value) {
        out.append(name).append(' ').append(value).append('\n');
    }
}
