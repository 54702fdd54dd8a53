package org.snipeslip.core.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.snipeslip.core.id.RouteId;

/**
 * Compares the new version with the old one by sequential tests of failures and of slow responses,
 * on each route and over all routes. What is usual follows the old version's latest responses, so
 * that a load or a disturbance that both versions see is no evidence. A single server that fails
 * far more often than the others of its version says nothing about the version.
 */
final class RolloutJudgement {
    private static final double FAILURE_LIMIT = 7;

    /** Response times depend on more than the version. */
    private static final double SLOW_LIMIT = 10;

    /** Levels of the tests below which the version may count as good. */
    private static final double GOOD_LEVEL = 0.4;

    private static final int MIN_ANSWERS = 15;
    private static final int MIN_LATENCIES = 8;

    /** A route with at least this part of the calls must have been tried on the new version. */
    private static final double MAIN_ROUTE_SHARE = 0.2;

    private static final int MIN_ROUTE_ANSWERS = 3;

    /** Responses of the old version by which slow ones can be told. */
    private static final int MIN_OLD_LATENCIES = 20;

    private static final int KEPT_OLD_LATENCIES = 60;
    private static final double HALF_LIFE_NANOS = 4e9;
    private static final double MIN_FAILURE_RATE = 0.01;
    private static final double ADDED_FAILURE_RATE = 0.15;
    private static final double MAX_RATE = 0.95;
    private static final double MEDIAN = 0.5;
    private static final double ADDED_ABOVE_MEDIAN = 0.35;
    private static final double TAIL = 0.9;
    private static final double MIN_TAIL_RATE = 0.03;
    private static final double ADDED_TAIL_RATE = 0.2;

    private final Map<RouteId, RouteEvidence> routes = new HashMap<>();
    private final Tests all = new Tests();
    private long decayedNanos;
    private String excluded = "";

    /** Adds what has been counted since the last time. */
    void add(VersionCounts.Key key, double answered, double failed, double[] latencies) {
        RouteEvidence route = routes.computeIfAbsent(key.route(), unused -> new RouteEvidence());
        if (key.onTarget()) {
            route.pending
                    .computeIfAbsent(key.server(), unused -> new Sums())
                    .add(answered, failed, latencies);
            route.total
                    .computeIfAbsent(key.server(), unused -> new Sums())
                    .add(answered, failed, latencies);
        } else {
            route.old.add(answered, failed, latencies);
        }
    }

    /** Applies what was added to the tests. */
    void evaluate(long nowNanos) {
        excluded = outlier();
        double failureRatio = 0;
        double medianRatio = 0;
        double tailRatio = 0;
        double usualFailures = usualFailureRate();
        for (RouteEvidence route : routes.values()) {
            Sums news = new Sums();
            route.pending.forEach(
                    (server, sums) -> {
                        if (!server.equals(excluded)) {
                            news.add(sums.answered, sums.failed, sums.latencies);
                        }
                    });
            route.pending.clear();
            double badFailures =
                    Math.min(MAX_RATE, usualFailures + Math.max(ADDED_FAILURE_RATE, usualFailures));
            double ratio =
                    SequentialTest.ratio(news.failed, news.answered, usualFailures, badFailures);
            route.tests.failures.add(ratio);
            failureRatio += ratio;
            route.waiting.add(0, 0, news.latencies);
            if (LatencyBuckets.sum(route.old.latencies, 0) >= MIN_OLD_LATENCIES) {
                double median = route.slowRatio(MEDIAN, MIN_TAIL_RATE, ADDED_ABOVE_MEDIAN);
                double tail = route.slowRatio(TAIL, MIN_TAIL_RATE, ADDED_TAIL_RATE);
                route.tests.median.add(median);
                route.tests.tail.add(tail);
                medianRatio += median;
                tailRatio += tail;
                route.waiting = new Sums();
            }
        }
        all.failures.add(failureRatio);
        all.median.add(medianRatio);
        all.tail.add(tailRatio);
        decay(nowNanos);
    }

    /** Returns whether the version is proven to be worse than the old one. */
    boolean isBad() {
        return level() >= 1;
    }

    /** Returns whether there is enough evidence, and none of it speaks against the version. */
    boolean isGood() {
        double answered = 0;
        double latencies = 0;
        double oldAnswered = 0;
        for (RouteEvidence route : routes.values()) {
            answered += route.newAnswers();
            latencies += route.newLatencies();
            oldAnswered += route.old.answered + route.old.failed;
        }
        if (level() >= GOOD_LEVEL || answered < MIN_ANSWERS || latencies < MIN_LATENCIES) {
            return false;
        }
        for (RouteEvidence route : routes.values()) {
            boolean main = route.old.answered + route.old.failed >= MAIN_ROUTE_SHARE * oldAnswered;
            if (main && route.newAnswers() < MIN_ROUTE_ANSWERS) {
                return false;
            }
        }
        return true;
    }

    /** Returns the inputs of the judgement for the log. */
    String describe() {
        StringBuilder text = new StringBuilder();
        routes.forEach(
                (route, evidence) -> {
                    Sums sums = evidence.newSums();
                    text.append(
                            String.format(
                                    Locale.ROOT,
                                    "%s: new %.0f good %.0f failed, old %.1f good %.1f failed,"
                                            + " levels %s; ",
                                    route,
                                    sums.answered,
                                    sums.failed,
                                    evidence.old.answered,
                                    evidence.old.failed,
                                    evidence.tests));
                });
        text.append("all routes: levels ").append(all);
        return excluded.isEmpty() ? text.toString() : text + "; without server " + excluded;
    }

    private double level() {
        double level = all.level();
        for (RouteEvidence route : routes.values()) {
            level = Math.max(level, route.tests.level());
        }
        return level;
    }

    private double usualFailureRate() {
        double answered = 0;
        double failed = 0;
        for (RouteEvidence route : routes.values()) {
            answered += route.old.answered;
            failed += route.old.failed;
        }
        // As if some good responses had been seen before.
        double rate = failed / (answered + failed + MIN_OLD_LATENCIES);
        return Math.clamp(rate, MIN_FAILURE_RATE, MAX_RATE - ADDED_FAILURE_RATE);
    }

    /** Returns the server that fails far more often than all others, or an empty text. */
    private String outlier() {
        Map<String, Double> badByServer = new HashMap<>();
        for (RouteEvidence route : routes.values()) {
            int tail = LatencyBuckets.quantile(route.old.latencies, TAIL) + 1;
            route.total.forEach(
                    (server, sums) ->
                            badByServer.merge(
                                    server,
                                    sums.failed + LatencyBuckets.sum(sums.latencies, tail),
                                    Double::sum));
        }
        List<Map.Entry<String, Double>> worst = new ArrayList<>(badByServer.entrySet());
        if (worst.size() < 3) {
            return "";
        }
        worst.sort(Map.Entry.<String, Double>comparingByValue().reversed());
        boolean alone = worst.get(0).getValue() > 3 * worst.get(1).getValue() + 3;
        return alone ? worst.getFirst().getKey() : "";
    }

    private void decay(long nowNanos) {
        double factor = Math.pow(MEDIAN, (nowNanos - decayedNanos) / HALF_LIFE_NANOS);
        for (RouteEvidence route : routes.values()) {
            double left = factor * LatencyBuckets.sum(route.old.latencies, 0);
            // Once no call goes to the old version, its last responses stay the measure.
            if (decayedNanos != 0 && left >= KEPT_OLD_LATENCIES) {
                route.old.scale(factor);
            }
        }
        decayedNanos = nowNanos;
    }

    /** Sums of counts. */
    private static final class Sums {
        private final double[] latencies = new double[LatencyBuckets.COUNT];
        private double answered;
        private double failed;

        void add(double moreAnswered, double moreFailed, double[] moreLatencies) {
            answered += moreAnswered;
            failed += moreFailed;
            for (int i = 0; i < latencies.length; i++) {
                latencies[i] += moreLatencies[i];
            }
        }

        void scale(double factor) {
            answered *= factor;
            failed *= factor;
            for (int i = 0; i < latencies.length; i++) {
                latencies[i] *= factor;
            }
        }
    }

    /** The tests of one route, or of all together. */
    private static final class Tests {
        private final SequentialTest failures = new SequentialTest(FAILURE_LIMIT);
        private final SequentialTest median = new SequentialTest(SLOW_LIMIT);
        private final SequentialTest tail = new SequentialTest(SLOW_LIMIT);

        double level() {
            return Math.max(failures.level(), Math.max(median.level(), tail.level()));
        }

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "failures %.2f, median %.2f, tail %.2f",
                    failures.level(),
                    median.level(),
                    tail.level());
        }
    }

    /** What is known of one route. */
    private final class RouteEvidence {
        private final Sums old = new Sums();
        private final Map<String, Sums> pending = new HashMap<>();
        private final Map<String, Sums> total = new HashMap<>();
        private final Tests tests = new Tests();

        /** Response times that cannot be compared yet. */
        private Sums waiting = new Sums();

        private double slowRatio(double quantile, double minRate, double addedRate) {
            int from = LatencyBuckets.quantile(old.latencies, quantile) + 1;
            double oldTotal = LatencyBuckets.sum(old.latencies, 0);
            double rate = Math.max(minRate, LatencyBuckets.sum(old.latencies, from) / oldTotal);
            double slow = LatencyBuckets.sum(waiting.latencies, from);
            double fast = LatencyBuckets.sum(waiting.latencies, 0) - slow;
            return SequentialTest.ratio(slow, fast, rate, Math.min(MAX_RATE, rate + addedRate));
        }

        private Sums newSums() {
            Sums sums = new Sums();
            Collection<Map.Entry<String, Sums>> entries = total.entrySet();
            for (Map.Entry<String, Sums> each : entries) {
                if (!each.getKey().equals(excluded)) {
                    Sums server = each.getValue();
                    sums.add(server.answered, server.failed, server.latencies);
                }
            }
            return sums;
        }

        private double newAnswers() {
            Sums sums = newSums();
            return sums.answered + sums.failed;
        }

        private double newLatencies() {
            return LatencyBuckets.sum(newSums().latencies, 0);
        }
    }
}
