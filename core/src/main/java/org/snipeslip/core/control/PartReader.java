package org.snipeslip.core.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.EngineName;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.store.StoreCallId;
import org.snipeslip.core.store.StoreRequest;

/** Reads missing parts from the object API, with a bounded number of concurrent calls. */
final class PartReader {
    private final int maxInFlight;
    private final StoreCallNumbers callNumbers;
    private final Map<Long, String> digestsByCall = new HashMap<>();

    PartReader(int maxInFlight, StoreCallNumbers callNumbers) {
        this.maxInFlight = maxInFlight;
        this.callNumbers = callNumbers;
    }

    /** Starts reads of missing parts that are not being read yet, up to the limit. */
    void readMissing(Collection<String> missing, Outbox outbox) {
        for (String digest : missing) {
            if (digestsByCall.size() >= maxInFlight) {
                return;
            }
            if (!digestsByCall.containsValue(digest)) {
                long call = callNumbers.next();
                digestsByCall.put(call, digest);
                outbox.add(
                        new Action.CallStore(
                                new StoreCallId(EngineName.CONTROL, call),
                                new StoreRequest.Read(ConfigHead.PART_PREFIX + digest)));
            }
        }
    }

    /** Ends a call and returns the digest of its part, or null if the call is unknown. */
    String endCall(long call) {
        return digestsByCall.remove(call);
    }

    /** Returns whether calls are in flight. Each of them ends, at the latest by a timeout. */
    boolean isBusy() {
        return !digestsByCall.isEmpty();
    }

    /** Abandons the calls in flight; their answers are ignored. */
    void abandonReads() {
        digestsByCall.clear();
    }
}
