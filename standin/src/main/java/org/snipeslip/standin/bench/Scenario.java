package org.snipeslip.standin.bench;

/**
 * Load and faults of one measurement.
 *
 * @param name name on the command line of {@link BenchMain}
 * @param loadShare interactive load as a share of the capacity of all slots
 * @param batchShare additional batch load, as a share of the same capacity
 * @param fault fault injected during the measurement
 */
public record Scenario(String name, double loadShare, double batchShare, Fault fault) {
    /** Fault injected into the backend servers. */
    public enum Fault {
        /** No fault. */
        NONE,
        /** Servers slow down 5 to 20 times for 5 to 500 ms. */
        NOISY_NEIGHBOURS,
        /** One server is 10 times slower. */
        STRAGGLER,
        /** One server responds with 500 immediately. */
        FAIL_FAST,
        /** A third of the servers become cold without notice. */
        COLD_WAVE,
        /**
         * One of six failure domains is out of service for a third of the time and returns cold.
         */
        FAILURE_DOMAIN_MOVE
    }

    /**
     * Returns the scenarios of the comparison, in order.
     *
     * @return all scenarios
     */
    public static java.util.List<Scenario> all() {
        return java.util.List.of(
                new Scenario("steady50", 0.50, 0, Fault.NONE),
                new Scenario("steady70", 0.70, 0, Fault.NONE),
                new Scenario("steady85", 0.85, 0, Fault.NONE),
                new Scenario("steady95", 0.95, 0, Fault.NONE),
                new Scenario("noisy", 0.50, 0, Fault.NOISY_NEIGHBOURS),
                new Scenario("straggler", 0.60, 0, Fault.STRAGGLER),
                new Scenario("failfast", 0.60, 0, Fault.FAIL_FAST),
                new Scenario("coldwave", 0.50, 0, Fault.COLD_WAVE),
                new Scenario("domainmove", 0.70, 0, Fault.FAILURE_DOMAIN_MOVE),
                new Scenario("overload", 0.80, 0.50, Fault.NONE));
    }
}
