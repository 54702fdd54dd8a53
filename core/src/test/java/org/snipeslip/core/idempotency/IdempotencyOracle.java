package org.snipeslip.core.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snipeslip.core.call.Outcome;
import org.snipeslip.core.call.RefusalReason;
import org.snipeslip.core.instance.RecordableAnswer;
import org.snipeslip.core.peer.ClaimMessage;
import org.snipeslip.core.store.StoreRequest;

/** Test oracle: records the actual history of each key and checks every decision against it. */
final class IdempotencyOracle {
    final Map<String, List<Grant>> grantsByDigest = new HashMap<>();
    final Set<String> boundDigests = new HashSet<>();
    int grants;
    int replays;
    int refusedNotRun;
    int refusedUnknown;
    long creates;

    Grant checkGrant(String digest, String trace) {
        List<Grant> grants = grantsByDigest.computeIfAbsent(digest, key -> new ArrayList<>());
        assertThat(grants)
                .as("second execution of key %s (%s)", digest, trace)
                .allMatch(grant -> grant.state == ClaimMessage.ClaimState.NOT_RUN);
        Grant grant = new Grant();
        grants.add(grant);
        this.grants++;
        return grant;
    }

    void checkReplay(String digest, RecordableAnswer answer) {
        replays++;
        assertThat(grantsByDigest.getOrDefault(digest, List.of()))
                .as("replay of an answer that was never recorded: %s", answer)
                .anyMatch(grant -> answer.equals(grant.answer));
    }

    void checkRefusal(ClaimDecision.Refused refused, boolean mayHaveRun) {
        assertThat(refused.refusal().mayHaveSent()).isFalse();
        if (refused.refusal().outcome() == Outcome.UNKNOWN) {
            refusedUnknown++;
            return;
        }
        refusedNotRun++;
        assertThat(mayHaveRun && refused.refusal().reason() != RefusalReason.KEY_REUSED)
                .as("refused as not run, but the call may have run: %s", refused)
                .isFalse();
    }

    boolean mayHaveRun(String digest) {
        return grantsByDigest.getOrDefault(digest, List.of()).stream()
                .anyMatch(grant -> grant.state != ClaimMessage.ClaimState.NOT_RUN);
    }

    void checkRequest(StoreRequest request) {
        if (request instanceof StoreRequest.Create) {
            creates++;
        }
        String requestText = request.toString();
        assertThat(boundDigests)
                .as("record of a bound call in an object API request: %s", requestText)
                .noneMatch(requestText::contains);
    }

    /** A grant that the requesting instance accepted. */
    static final class Grant {
        ClaimMessage.ClaimState state = ClaimMessage.ClaimState.GRANTED;
        RecordableAnswer answer;
    }
}
