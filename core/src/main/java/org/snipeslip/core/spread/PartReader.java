package org.snipeslip.core.spread;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.snipeslip.core.config.ConfigHead;
import org.snipeslip.core.instance.Action;
import org.snipeslip.core.instance.EngineName;
import org.snipeslip.core.instance.Outbox;
import org.snipeslip.core.store.StoreCallId;
import org.snipeslip.core.store.StoreRequest;

/** Reads missing parts from the object API, a bounded number at once. */
final class PartReader {
    private final int maxInFlight;
    private final StoreCallNumbers numbers;
    private final Map<Long, String> digestsByCall = new HashMap<>();

    PartReader(int maxInFlight, StoreCallNumbers numbers) {
        this.maxInFlight = maxInFlight;
        this.numbers = numbers;
    }

    /** Reads the next missing parts. */
    void read(Collection<String> missing, Outbox outbox) {
        for (String digest : missing) {
            if (digestsByCall.size() >= maxInFlight) {
                return;
            }
            if (!digestsByCall.containsValue(digest)) {
                long call = numbers.next();
                digestsByCall.put(call, digest);
                outbox.add(
                        new Action.CallStore(
                                new StoreCallId(EngineName.CONTROL, call),
                                new StoreRequest.Read(ConfigHead.PART_PREFIX + digest)));
            }
        }
    }

    /** Returns the digest that a call asked for, or null, and ends the call. */
    String ended(long call) {
        return digestsByCall.remove(call);
    }

    /** Gives up the calls in flight; their answers are ignored. */
    void giveUp() {
        digestsByCall.clear();
    }
}
