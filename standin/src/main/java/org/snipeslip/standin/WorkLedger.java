package org.snipeslip.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Counts how often the work of each idempotency key was started, over all backend servers. */
public final class WorkLedger {
    private final Map<String, Integer> startsByKey = new ConcurrentHashMap<>();

    /**
     * Counts a start.
     *
     * @param key the idempotency key
     */
    public void started(String key) {
        startsByKey.merge(key, 1, Integer::sum);
    }

    /**
     * Counts the keys whose work was started.
     *
     * @return number of keys
     */
    public int keys() {
        return startsByKey.size();
    }

    /**
     * Counts the keys whose work was started more than once.
     *
     * @return number of keys
     */
    public long repeatedKeys() {
        return startsByKey.values().stream().filter(starts -> starts > 1).count();
    }
}
