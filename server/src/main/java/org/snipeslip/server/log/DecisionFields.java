package org.snipeslip.server.log;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.snipeslip.core.call.DecisionRecord;

/** Converts decisions to the named fields of log lines and of explanations on the operator port. */
public final class DecisionFields {
    private DecisionFields() {}

    /**
     * Returns the fields of a decision, in a fixed order and without those that do not apply.
     *
     * @param decision the decision
     * @return field values by field name
     */
    public static Map<String, Object> of(DecisionRecord decision) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("request", decision.request().value());
        fields.put("kind", text(decision.kind()));
        putText(fields, "route", decision.route());
        putText(fields, "service", decision.service());
        fields.put("try", decision.tryNumber());
        putText(fields, "chosen", decision.chosen());
        putText(fields, "passedTo", decision.passedTo());
        if (decision.refusal() != null) {
            fields.put("reason", decision.refusal().reason().text());
            fields.put("outcome", decision.refusal().outcome().text());
        }
        if (decision.loss() != null) {
            fields.put("failure", text(decision.loss().failure()));
            fields.put("afterNanos", decision.loss().afterNanos());
            putText(fields, "digest", decision.loss().digest());
        }
        List<Map<String, Object>> candidates = new ArrayList<>(decision.candidates().size());
        decision.candidates().forEach(candidate -> candidates.add(of(candidate)));
        fields.put("candidates", candidates);
        return fields;
    }

    private static Map<String, Object> of(DecisionRecord.Candidate candidate) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("backendServer", candidate.backendServer().value());
        fields.put("exclusion", text(candidate.exclusion()));
        fields.put("scoreNanos", candidate.scoreNanos());
        fields.put("inFlight", candidate.inFlight());
        fields.put("limit", candidate.limit());
        if (candidate.reportAgeNanos() >= 0) {
            fields.put("reportedInFlight", candidate.reportedInFlight());
            fields.put("reportAgeNanos", candidate.reportAgeNanos());
        }
        return fields;
    }

    private static void putText(Map<String, Object> fields, String name, Object id) {
        if (id != null) {
            fields.put(name, id.toString());
        }
    }

    private static String text(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
