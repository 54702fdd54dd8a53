package org.snipeslip.standin.bench;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.snipeslip.core.call.CallSettings;
import org.snipeslip.core.selection.PolicyName;

/** Command line of the policy comparison. */
public final class BenchMain {
    private static final int DEFAULT_ROUNDS = 5;
    private static final double DEFAULT_SECONDS = 4;

    private BenchMain() {}

    /**
     * Runs the given scenarios; the defaults are all scenarios, 5 rounds and 4 seconds.
     *
     * @param args scenario names separated by commas, or "all"; rounds; seconds per round
     * @throws Exception if a deployment cannot be started
     */
    public static void main(String[] args) throws Exception {
        List<String> names = args.length > 0 ? Arrays.asList(args[0].split(",")) : List.of("all");
        int rounds = args.length > 1 ? Integer.parseInt(args[1]) : DEFAULT_ROUNDS;
        double seconds = args.length > 2 ? Double.parseDouble(args[2]) : DEFAULT_SECONDS;
        PolicyComparison comparison = new PolicyComparison(policies(), System.out);
        for (Scenario scenario : Scenario.all()) {
            if (names.contains("all") || names.contains(scenario.name())) {
                comparison.run(scenario, rounds, seconds);
            }
        }
        System.exit(0);
    }

    private static Map<String, CallSettings> policies() {
        Map<String, CallSettings> policies = new LinkedHashMap<>();
        for (PolicyName name : PolicyName.values()) {
            policies.put(
                    name.name().toLowerCase(Locale.ROOT), CallSettings.DEFAULT.withPolicy(name));
        }
        return policies;
    }
}
