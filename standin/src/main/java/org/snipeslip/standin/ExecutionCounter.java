package org.snipeslip.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Counts executions by idempotency key over all backend servers. */
public final class ExecutionCounter {
    private final Map<String, Integer> startsByKey = new ConcurrentHashMap<>();

    /**
     * Counts the start of an execution.
     *
     * @param key the idempotency key
     */
    public void countStart(String key) {
        startsByKey.merge(key, 1, Integer::sum);
    }

    /**
     * Counts the keys with at least one execution.
     *
     * @return number of keys
     */
    public int distinctKeys() {
        return startsByKey.size();
    }

    /**
     * Counts the keys with more than one execution.
     *
     * @return number of keys
     */
    public long repeatedKeys() {
        return startsByKey.values().stream().filter(starts -> starts > 1).count();
    }
}
